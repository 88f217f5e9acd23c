package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store as encoded in JSON.
type row struct {
	Table         string
	Part          string `json:"part"`
	Key           string
	Value         []byte `json:",omitempty"`
	ObjectVersion uint64
	Deleted       bool `json:",omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's metadata store, without faults.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	changed chan struct{}
	started time.Time
}

// transactionTime is TransactionLatencyS of a small deployment.
const transactionTime = 4 * time.Millisecond

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now()}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transaction)
	mux.HandleFunc("GET /rows-get", s.list)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return mux
}

// put writes a row as the operator does, and returns when it is acknowledged.
func (s *store) put(table, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: content})
	s.notify()
}

// apply changes one row at the current version. The caller holds mu.
func (s *store) apply(r row) {
	r.ObjectVersion = s.version
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// respond writes rows. The caller holds mu.
func (s *store) respond(w http.ResponseWriter, status int, rows []row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Rows": rows, "HasMore": more, "ObjectVersion": s.version, "CurrentTimeS": time.Since(s.started).Seconds(),
	})
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var body struct{ Precondition, Puts, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range append(append([]row{}, body.Puts...), body.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	conflict := false
	for _, c := range body.Precondition {
		held, exists := s.rows[c.id()]
		conflict = conflict || held.ObjectVersion != c.ObjectVersion
		if exists {
			current = append(current, held)
		}
	}
	if conflict {
		s.respond(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, p := range body.Puts {
		s.apply(p)
	}
	for _, d := range body.Remove {
		d.Deleted = true
		s.apply(d)
	}
	s.notify()
	s.respond(w, http.StatusOK, nil, false)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("Limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for id, held := range s.rows {
		if id.table == q.Get("Table") && id.part == q.Get("part") && id.key >= q.Get("StartKey") && (q.Get("Target") == "" || id.key < q.Get("Target")) {
			rows = append(rows, held)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.respond(w, http.StatusOK, rows, more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		var rows []row
		for _, h := range s.history {
			if h.Table == q.Get("Table") && h.ObjectVersion > after {
				rows = append(rows, h)
			}
		}
		if len(rows) > 0 || over {
			s.respond(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
