// Package sidecar tests teasel-sidecar as processes against stand-ins of the
// users' platform: its metadata store, its servers and its operator. They speak
// the platform's published protocol.
package sidecar

import (
	"encoding/json"
	"net"
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
// machines that they name, by IP address; "" means all.
type Store struct {
	*httptest.Server
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	oldest  uint64 // of the history kept
	changed chan struct{}
	start   time.Time

	refused  map[string]int // machine to status
	lose     int            // writes still to be done and not answered
	writes   int
	ended    chan struct{}
	endsOnce sync.Once
}

// NewStore starts an empty store.
func NewStore() *Store {
	s := &Store{
		rows: map[rowKey]row{}, changed: make(chan struct{}), start: time.Now(), refused: map[string]int{}, ended: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	s.Server = httptest.NewServer(s.faulty(mux))
	return s
}

// Stop ends waiting calls and the server.
func (s *Store) Stop() {
	s.endsOnce.Do(func() { close(s.ended) })
	s.CloseClientConnections()
	s.Close()
}

// Refuse answers a machine's calls with a status; 0 ends that.
func (s *Store) Refuse(machine string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[machine] = status
	s.wake()
}

// LoseAnswers does the next writes without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
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

func (s *Store) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if status := s.refusal(r); status != 0 {
			w.WriteHeader(status)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) refusal(r *http.Request) int {
	machine, _, _ := net.SplitHostPort(r.RemoteAddr)
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

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []row
		Puts, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var now []row
	conflict := false
	for _, c := range body.Precondition {
		held, exists := s.rows[rowKey{c.Table, c.Key}]
		conflict = conflict || held.ObjectVersion != c.ObjectVersion
		if exists {
			now = append(now, held)
		}
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, now)
		return
	}
	s.version++
	s.writes++
	for _, p := range body.Puts {
		s.put(p)
	}
	for _, d := range body.Remove {
		d.Deleted = true
		s.put(d)
	}
	s.wake()
	if s.lose > 0 {
		s.lose--
		panic(http.ErrAbortHandler)
	}
	s.answer(w, http.StatusOK, nil)
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

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
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
			if status := s.refusal(r); status != 0 {
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
