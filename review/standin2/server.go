package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is what a server saw of one request that it ran.
type run struct {
	server, id, method, path, tenant, key string
	body                                  int64  // bytes
	hash                                  string // SHA-256 of the body
	complete                              bool   // the body ended as HTTP says, not with its connection
	at                                    time.Time
}

// server is a sound server of the platform: it reads each request to its end, runs it,
// and signs the answer.
type server struct {
	id, address, service, zone string
	slots                      int
	born                       int64
	work                       func(path string) time.Duration
	// serve replaces the handler of requests other than health checks; nil: the sound one.
	serve func(s *server, w http.ResponseWriter, r *http.Request)
	mu    sync.Mutex
	runs  []run
}

func (s *server) start(control string) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.born = time.Now().UnixMilli()
	go func() { _ = http.Serve(listener, http.HandlerFunc(s.handle)) }()
	go s.beat(control)
	return nil
}

func (s *server) beat(control string) {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"Address":     s.address,
			"Information": map[string]any{"Service": s.service, "Version": "v1", "Zone": s.zone, "Slots": s.slots},
			"Status":      map[string]any{"State": "ready", "Sequence": sequence, "ColdRemainingS": 0},
			"born":        s.born,
		})
		response, err := client.Post("http://"+control+"/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.serve != nil {
		s.serve(s, w, r)
		return
	}
	s.run(w, r)
}

// run reads the request, runs it and answers with the hash of its body.
func (s *server) run(w http.ResponseWriter, r *http.Request) {
	seen := run{
		server: s.id, id: r.Header.Get("Attempt-Id"), method: r.Method, path: r.URL.RequestURI(), tenant: r.Header.Get("Tenant"),
		key: r.Header.Get("Key"), at: time.Now(),
	}
	digest := sha256.New()
	var err error
	seen.body, err = io.Copy(digest, r.Body)
	seen.hash, seen.complete = hex.EncodeToString(digest.Sum(nil)), err == nil
	s.mu.Lock()
	s.runs = append(s.runs, seen)
	s.mu.Unlock()
	if err != nil {
		panic(http.ErrAbortHandler) // the request was cut off and is not run
	}
	if s.work != nil {
		time.Sleep(s.work(r.URL.Path))
	}
	w.Header().Set("Response-Signature", "signed-by-"+s.id)
	_, _ = fmt.Fprintf(w, "%d bytes, hash %s", seen.body, seen.hash)
}

// seen returns what the servers ran.
func seen(servers []*server) (all []run) {
	for _, s := range servers {
		s.mu.Lock()
		all = append(all, s.runs...)
		s.mu.Unlock()
	}
	return all
}
