package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"teaselring/test/standin"
)

type handler struct {
	behaviour *behaviour
	journal   *standin.Journal
}

func newHandler(b *behaviour, j *standin.Journal, a *announcer) http.Handler {
	h := &handler{behaviour: b, journal: j}
	control := standin.Control(b, func(s *state) *options { return &s.options })
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		control(w, r)
		a.announceNow(r.Context())
	})
	mux.HandleFunc("GET /health", h.health)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, r *http.Request) {
		load := standin.Query(r.Context(), b, (*state).load)
		standin.WriteJSON(w, http.StatusOK, map[string]int{"in_flight": load, "slots": *slots})
	})
	mux.HandleFunc("/stream", h.call(readWhole, stream))
	mux.HandleFunc("/digest", h.call(readHash, writeBody))
	mux.HandleFunc("/", h.call(readWhole, echo))
	return mux
}

func (h *handler) health(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	if !standin.Query(r.Context(), h.behaviour, (*state).healthy) {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// call runs a call according to its plan and journals it. The "began" line is in the
// file before any work, so that it survives a crash.
func (h *handler) call(read bodyReader, respond func(http.ResponseWriter, *http.Request, []byte)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx := r.Context()
		uncancelled := context.WithoutCancel(ctx)
		p := standin.Query(ctx, h.behaviour, func(s *state) callPlan { return s.begin(r.URL.Path) })
		line := standin.Call{
			Event: "began", Process: process, Call: p.number, Attempt: r.Header.Get("Teasel-Attempt"),
			Key: r.Header.Get("Idempotency-Key"), Method: r.Method, Path: r.URL.Path, Began: time.Now(),
		}
		if p.number == 0 {
			line.Event = "shed"
			h.journal.Write(uncancelled, line)
			w.Header().Set("Teasel-Shed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.journal.Write(uncancelled, line)
		if r.Header.Get("X-Crash") != "" {
			os.Exit(2)
		}
		defer func() {
			standin.Query(uncancelled, h.behaviour, (*state).end)
			line.Event, line.Ended = "ended", time.Now()
			line.Cancelled = line.Cancelled || ctx.Err() != nil
			h.journal.Write(uncancelled, line)
		}()
		body, size, err := read(r.Body)
		line.Bytes = size
		if err != nil || !standin.Sleep(ctx, p.delay) {
			line.Cancelled = true
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Upstream-Version", *version)
		w.Header().Set("Upstream-Process", process)
		if line.Status = http.StatusOK; p.fail {
			line.Status = http.StatusInternalServerError
			http.Error(w, "injected failure", line.Status)
			return
		}
		respond(w, r, body)
	}
}

// bodyReader reads a request body and returns the content of the response and the
// number of bytes read.
type bodyReader func(io.Reader) (body []byte, size int, err error)

func readWhole(r io.Reader) ([]byte, int, error) {
	body, err := io.ReadAll(r)
	return body, len(body), err
}

// readHash returns only the hash, for bodies that do not fit into memory.
func readHash(r io.Reader) ([]byte, int, error) {
	sum := sha256.New()
	n, err := io.Copy(sum, r)
	return []byte(hex.EncodeToString(sum.Sum(nil))), int(n), err
}

func writeBody(w http.ResponseWriter, _ *http.Request, body []byte) { _, _ = w.Write(body) }

// echo responds with the request body and its hash. The response to a request without
// a body is its method and URI, so that responses to different requests differ.
func echo(w http.ResponseWriter, r *http.Request, body []byte) {
	if len(body) == 0 {
		body = []byte(r.Method + " " + r.URL.RequestURI() + "\n")
	}
	sum := sha256.Sum256(body)
	w.Header().Set("Upstream-Sha256", hex.EncodeToString(sum[:]))
	_, _ = w.Write(body)
}

// stream responds with a number of bytes that repeat the letters a to z. With pause_ms
// it pauses after each byte; with chunked=1 it sends no Content-Length.
func stream(w http.ResponseWriter, r *http.Request, _ []byte) {
	query := r.URL.Query()
	total, _ := strconv.Atoi(query.Get("bytes"))
	pauseMS, _ := strconv.Atoi(query.Get("pause_ms"))
	if query.Get("chunked") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(total))
	}
	const letters, block = 26, 26 * 1260 // 32 KiB
	content := make([]byte, block+letters)
	for i := range content {
		content[i] = byte('a' + i%letters)
	}
	for sent := 0; sent < total; {
		size := min(block, total-sent)
		if pauseMS > 0 {
			size = 1
		}
		if _, err := w.Write(content[sent%letters:][:size]); err != nil {
			return
		}
		sent += size
		if pauseMS > 0 {
			_ = http.NewResponseController(w).Flush()
			if !standin.Sleep(r.Context(), time.Duration(pauseMS)*time.Millisecond) {
				return
			}
		}
	}
}
