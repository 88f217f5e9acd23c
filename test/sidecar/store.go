// Package sidecar runs teasel-sidecar processes against stand-ins for the users'
// platform: its metadata store, its servers and its operator. The stand-ins
// implement the platform's published protocol.
package sidecar

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
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

type rowKey struct{ table, key string }

// Store is a stand-in for the platform's metadata store. A refusal applies to the
// machine that it names, or to all machines if the name is "".
type Store struct {
	// Rewrite changes a value that a machine writes; nil: none is changed. It lets
	// a test put a proxy between machines, which discover each other in the store.
	Rewrite func(key string, value []byte) []byte
	// OnPut is called for each value that a machine writes; it may be nil.
	OnPut func(table, key string, value []byte)

	listeners []*httptest.Server
	mu        sync.Mutex
	rows      map[rowKey]row
	history   []row
	version   uint64
	oldest    uint64 // lowest version in the history
	era       uint64
	changed   chan struct{}
	start     time.Time

	refusals   map[string]int // status by machine
	dropCount  int            // number of writes still to be applied without a response
	applyDelay time.Duration  // before a write without a response is applied; 0: none
	writes     int
	stopped    chan struct{}
	stopOnce   sync.Once
}

// NewStore starts an empty store.
func NewStore() *Store {
	s := &Store{
		era: 1, rows: map[rowKey]row{}, changed: make(chan struct{}), start: time.Now(), refusals: map[string]int{}, stopped: make(chan struct{}),
	}
	return s
}

// Serve starts a listener for one machine and returns its address.
func (s *Store) Serve(machine string) string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.handleTransaction)
	mux.HandleFunc("GET /rows-get", s.handleGet)
	mux.HandleFunc("GET /rows-feed", func(w http.ResponseWriter, r *http.Request) { s.handleFeed(w, r, machine) })
	listener := httptest.NewServer(s.withRefusals(machine, mux))
	s.listeners = append(s.listeners, listener)
	return listener.Listener.Addr().String()
}

// Stop ends the long polls and the listeners.
func (s *Store) Stop() {
	s.stopOnce.Do(func() { close(s.stopped) })
	for _, listener := range s.listeners {
		listener.CloseClientConnections()
		listener.Close()
	}
}

// Refuse makes the store refuse requests of a machine with a status; 0 ends that.
func (s *Store) Refuse(machine string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals[machine] = status
	s.notifyFeeds()
}

// DropResponses applies the next n writes without a response. After a delay, a write
// is applied only if its precondition still holds.
func (s *Store) DropResponses(n int, applyDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropCount, s.applyDelay = n, applyDelay
}

// DropHistory drops the history, so that a feed from an earlier version gets 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version+1
	s.version++
	s.notifyFeeds()
}

// Copy is what the store held at one moment.
type Copy struct {
	rows            map[rowKey]row
	history         []row
	version, oldest uint64
}

// Copy returns a copy of what the store holds.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{rows: maps.Clone(s.rows), history: slices.Clone(s.history), version: s.version, oldest: s.oldest}
}

// ReturnFrom replaces what the store holds by a copy. The changes since then are lost, and
// their versions are given out again.
func (s *Store) ReturnFrom(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history, s.version, s.oldest = maps.Clone(c.rows), slices.Clone(c.history), c.version, c.oldest
	s.era++
	s.notifyFeeds()
}

// Version returns the version of the newest change.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// WriteCount returns the number of transactions that were applied.
func (s *Store) WriteCount() int {
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
	s.PutBytes(table, key, content)
}

// PutBytes writes a row with any bytes, as another writer may.
func (s *Store) PutBytes(table, key string, content []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Value: content})
	s.notifyFeeds()
}

// Remove removes a row as the operator does.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Deleted: true})
	s.notifyFeeds()
}

// put writes or deletes a row at the current version. The caller holds mu.
func (s *Store) put(r row) {
	r.ObjectVersion = s.version
	if r.Deleted {
		delete(s.rows, rowKey{r.Table, r.Key})
	} else {
		s.rows[rowKey{r.Table, r.Key}] = r
	}
	s.history = append(s.history, r)
}

// notifyFeeds wakes all feeds that wait for a change. The caller holds mu.
func (s *Store) notifyFeeds() { close(s.changed); s.changed = make(chan struct{}) }

func (s *Store) withRefusals(machine string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.setEra(w)
		if status := s.refusalStatus(machine); status != 0 {
			w.WriteHeader(status)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// setEra sets the header of the present era.
func (s *Store) setEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

func (s *Store) refusalStatus(machine string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := s.refusals[machine]; status != 0 {
		return status
	}
	return s.refusals[""]
}

func (s *Store) respond(w http.ResponseWriter, status int, rows []row) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Rows": rows, "HasMore": false, "ObjectVersion": s.version, "CurrentTimeS": time.Since(s.start).Seconds(),
	})
}

// transaction is the body of a conditional write.
type transaction struct {
	Precondition []row
	Puts, Remove []row
}

func (s *Store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var body transaction
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.dropCount > 0
	if lost {
		s.dropCount--
	}
	if lost && s.applyDelay > 0 {
		time.AfterFunc(s.applyDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(&body)
		})
		panic(http.ErrAbortHandler)
	}
	current, conflict := s.apply(&body)
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case conflict:
		s.respond(w, http.StatusPreconditionFailed, current)
	default:
		s.respond(w, http.StatusOK, nil)
	}
}

// apply applies a transaction if its precondition holds, else it returns the current
// rows of the precondition. The caller holds mu.
func (s *Store) apply(body *transaction) (current []row, conflict bool) {
	for _, c := range body.Precondition {
		stored, exists := s.rows[rowKey{c.Table, c.Key}]
		conflict = conflict || stored.ObjectVersion != c.ObjectVersion
		if exists {
			current = append(current, stored)
		}
	}
	if conflict {
		return current, true
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
	s.notifyFeeds()
	return nil, false
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for key, stored := range s.rows {
		if key.table == r.URL.Query().Get("Table") {
			rows = append(rows, stored)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.respond(w, http.StatusOK, rows)
}

// handleFeed serves a long poll: it responds with the rows after a version, as soon as
// there are any or the wait is over.
func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request, machine string) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		if after+1 < s.oldest || after > s.version {
			s.mu.Unlock()
			s.setEra(w)
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []row
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
			if status := s.refusalStatus(machine); status != 0 {
				s.setEra(w)
				w.WriteHeader(status)
				return
			}
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		case <-s.stopped:
			return
		}
	}
}
