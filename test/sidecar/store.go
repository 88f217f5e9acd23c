// Package sidecar tests teasel-sidecar as processes against stand-ins of the
// users' platform: its metadata store, its servers and its operator. They speak
// the platform's published protocol.
package sidecar

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store on the wire.
type row struct {
	Table         string
	Part          string `json:"part"`
	Key           string
	Value         []byte `json:",omitempty"`
	ObjectVersion uint64
	Deleted       bool `json:",omitempty"`
}

type rowKey struct{ table, key string }

// Store is a stand-in of the platform's metadata store. Faults apply to the
// machines that they name; "" means all.
type Store struct {
	// Rewrite changes a value that a machine writes; nil: none is changed. It lets
	// a test put a proxy between machines, which find each other in the store.
	Rewrite func(key string, value []byte) []byte
	// OnPut is called for each value that a machine writes; nil: nothing.
	OnPut func(table, key string, value []byte)

	listeners []*httptest.Server
	mu        sync.Mutex
	rows      map[rowKey]row
	history   []row
	version   uint64
	oldest    uint64 // of the history kept
	changed   chan struct{}
	start     time.Time

	refused  map[string]int // machine to status
	lose     int            // writes still to be done and not answered
	late     time.Duration  // after which a write that is not answered is done; 0: at once
	writes   int
	ended    chan struct{}
	endsOnce sync.Once
}

// NewStore starts an empty store.
func NewStore() *Store {
	s := &Store{
		rows: map[rowKey]row{}, changed: make(chan struct{}), start: time.Now(), refused: map[string]int{}, ended: make(chan struct{}),
	}
	return s
}

// Serve starts a listener for one machine and returns its address.
func (s *Store) Serve(machine string) string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", func(w http.ResponseWriter, r *http.Request) { s.feed(w, r, machine) })
	listener := httptest.NewServer(s.faulty(machine, mux))
	s.listeners = append(s.listeners, listener)
	return listener.Listener.Addr().String()
}

// Stop ends waiting calls and the server.
func (s *Store) Stop() {
	s.endsOnce.Do(func() { close(s.ended) })
	for _, listener := range s.listeners {
		listener.CloseClientConnections()
		listener.Close()
	}
}

// Refuse answers a machine's calls with a status; 0 ends that.
func (s *Store) Refuse(machine string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[machine] = status
	s.wake()
}

// LoseAnswers does the next writes without an answer, after a delay if their
// condition still holds then.
func (s *Store) LoseAnswers(n int, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose, s.late = n, late
}

// Forget drops the history.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version+1
	s.version++
	s.wake()
}

// Writes returns the number of transactions that were done.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Row returns the value of a row, nil when there is none.
func (s *Store) Row(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, key}].Value
}

// Put writes a row as the operator does.
func (s *Store) Put(table, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Value: content})
	s.wake()
}

func (s *Store) put(r row) {
	r.ObjectVersion = s.version
	if r.Deleted {
		delete(s.rows, rowKey{r.Table, r.Key})
	} else {
		s.rows[rowKey{r.Table, r.Key}] = r
	}
	s.history = append(s.history, r)
}

func (s *Store) wake() { close(s.changed); s.changed = make(chan struct{}) }

func (s *Store) faulty(machine string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if status := s.refusal(machine); status != 0 {
			w.WriteHeader(status)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) refusal(machine string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := s.refused[machine]; status != 0 {
		return status
	}
	return s.refused[""]
}

func (s *Store) answer(w http.ResponseWriter, status int, rows []row) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Rows": rows, "HasMore": false, "ObjectVersion": s.version, "CurrentTimeS": time.Since(s.start).Seconds(),
	})
}

// transaction is the body of a write.
type transaction struct {
	Precondition []row
	Puts, Remove []row
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var body transaction
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.lose > 0
	if lost {
		s.lose--
	}
	if lost && s.late > 0 {
		time.AfterFunc(s.late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(&body)
		})
		panic(http.ErrAbortHandler)
	}
	now, conflict := s.apply(&body)
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case conflict:
		s.answer(w, http.StatusPreconditionFailed, now)
	default:
		s.answer(w, http.StatusOK, nil)
	}
}

// apply does a transaction if its condition holds, else it returns the rows of
// the condition.
func (s *Store) apply(body *transaction) (now []row, conflict bool) {
	for _, c := range body.Precondition {
		held, exists := s.rows[rowKey{c.Table, c.Key}]
		conflict = conflict || held.ObjectVersion != c.ObjectVersion
		if exists {
			now = append(now, held)
		}
	}
	if conflict {
		return now, true
	}
	s.version++
	s.writes++
	for _, p := range body.Puts {
		if s.Rewrite != nil {
			p.Value = s.Rewrite(p.Key, p.Value)
		}
		if s.OnPut != nil {
			s.OnPut(p.Table, p.Key, p.Value)
		}
		s.put(p)
	}
	for _, d := range body.Remove {
		d.Deleted = true
		s.put(d)
	}
	s.wake()
	return nil, false
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for key, held := range s.rows {
		if key.table == r.URL.Query().Get("Table") {
			rows = append(rows, held)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, http.StatusOK, rows)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request, machine string) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		if after+1 < s.oldest {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []row
		for _, h := range s.history {
			if h.Table == query.Get("Table") && h.ObjectVersion > after {
				rows = append(rows, h)
			}
		}
		if len(rows) > 0 || over {
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
			if status := s.refusal(machine); status != 0 {
				w.WriteHeader(status)
				return
			}
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		case <-s.ended:
			return
		}
	}
}
