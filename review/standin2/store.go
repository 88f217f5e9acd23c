package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, as PROTOCOL.md encodes it.
type row struct {
	Table         string
	Part          string `json:"part"`
	Key           string
	Value         []byte `json:",omitempty"`
	ObjectVersion uint64
	Deleted       bool `json:",omitempty"`
}

// store is a stand-in for the platform's metadata store. It answers every call at once.
type store struct {
	address string
	mu      sync.Mutex
	rows    map[string]row
	history []row
	version uint64
	changed chan struct{}
	start   time.Time
}

func newStore(address string) (*store, error) {
	s := &store{address: address, rows: map[string]row{}, changed: make(chan struct{}), start: time.Now()}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transaction)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a row as the operator does and returns when it is acknowledged.
func (s *store) put(table, key string, value any) time.Time {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: content})
	s.notify()
	return time.Now()
}

// write stores a row at the current version. The caller holds mu.
func (s *store) write(r row) {
	r.ObjectVersion = s.version
	if r.Deleted {
		delete(s.rows, r.Table+"\x00"+r.Key)
	} else {
		s.rows[r.Table+"\x00"+r.Key] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) respond(w http.ResponseWriter, status int, rows []row) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Rows": rows, "HasMore": false, "ObjectVersion": s.version, "CurrentTimeS": time.Since(s.start).Seconds(),
	})
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var body struct{ Precondition, Puts, Remove []row }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	conflict := false
	for _, c := range body.Precondition {
		stored, exists := s.rows[c.Table+"\x00"+c.Key]
		conflict = conflict || stored.ObjectVersion != c.ObjectVersion
		if exists {
			current = append(current, stored)
		}
	}
	if conflict {
		s.respond(w, http.StatusPreconditionFailed, current)
		return
	}
	s.version++
	for _, p := range body.Puts {
		s.write(p)
	}
	for _, d := range body.Remove {
		d.Deleted = true
		s.write(d)
	}
	s.notify()
	s.respond(w, http.StatusOK, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, stored := range s.rows {
		if stored.Table == r.URL.Query().Get("Table") {
			rows = append(rows, stored)
		}
	}
	s.respond(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		rows := []row{}
		for _, h := range s.history {
			if h.Table == query.Get("Table") && h.ObjectVersion > after {
				rows = append(rows, h)
			}
		}
		if len(rows) > 0 || timedOut {
			s.respond(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}
