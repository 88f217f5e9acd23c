package sidecar

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a stand-in for the local server of a node.
type Server struct {
	*httptest.Server
	zone             string
	appAddress       string       // that its node knows
	id               atomic.Value // string
	version          atomic.Value // string
	failing          atomic.Bool  // fails every second call
	startedAt        atomic.Int64 // Unix time in ms
	down             atomic.Bool  // crashed and not restarted yet
	crashCount       atomic.Int64
	state            atomic.Value // string
	heartbeatsPaused atomic.Bool
	workMS           atomic.Int64
	runCount         atomic.Int64
	lastRunAt        atomic.Int64 // Unix time in ms
	drainAckedAt     atomic.Int64 // Unix time in ms of the acknowledgement of draining
	sequence         atomic.Int64
	coldSince        atomic.Int64 // Unix time in ms
	coldUntil        atomic.Int64 // Unix time in ms
	arrivals         []time.Time  // of requests that were not refused as misdirected; guarded by mu
	stopped          chan struct{}
	mu               sync.Mutex                   // held while the server is replaced
	listener         atomic.Pointer[net.Listener] // since the last start
	// ColdStart is how long the server is cold after a restart. It is set before the first one.
	ColdStart time.Duration
	// OnRun is called for each request that runs. It is set before the first request.
	OnRun func(s *Server, r *http.Request)
}

func newServer(address, id, zone string) *Server {
	s := &Server{zone: zone, stopped: make(chan struct{})}
	s.id.Store(id)
	s.version.Store("v1")
	s.startedAt.Store(time.Now().UnixMilli())
	s.state.Store("ready")
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	s.Server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(s.serve)}}
	s.listener.Store(&listener)
	s.Start()
	return s
}

func (s *Server) stop() {
	close(s.stopped)
	s.CloseClientConnections()
	s.Close()
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.ID())
		w.Header().Set("Cold-Milliseconds", strconv.FormatInt(s.coldRemaining().Milliseconds(), 10))
		if s.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.ID() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	if strings.HasSuffix(r.URL.Path, "/poison") {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	s.runCount.Add(1)
	s.lastRunAt.Store(time.Now().UnixMilli())
	if s.OnRun != nil {
		s.OnRun(s, r)
	}
	if part, ok := strings.CutPrefix(path.Base(r.URL.Path), cutPrefix); ok {
		cutResponse(w, r, part)
		return
	}
	if name, ok := strings.CutPrefix(path.Base(r.URL.Path), brokenPrefix); ok {
		breakResponse(w, r, name)
		return
	}
	failing := s.FailsCurrentRequest()
	body, _ := io.ReadAll(r.Body)
	time.Sleep(time.Duration(s.workMS.Load()) * time.Millisecond)
	w.Header().Set("Response-Signature", "s")
	w.Header().Set("X-Server", s.ID())
	w.Header().Set("X-Path", r.URL.Path)
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = w.Write(body)
}

// cutPrefix begins the last segment of the path of a request whose response ends within
// its head; the number of bytes sent follows.
const cutPrefix = "cut-"

// cutHead returns the head of the response to such a request.
func cutHead(id string) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s\r\nContent-Length: 3000\r\n\r\n"
}

func cutResponse(w http.ResponseWriter, r *http.Request, part string) {
	head := cutHead(r.Header.Get("Attempt-Id"))
	bytes, err := strconv.Atoi(part)
	if err != nil {
		panic(err)
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(c, head[:min(bytes, len(head))])
	_ = c.Close()
}

// Zone returns the availability zone of the server.
func (s *Server) Zone() string { return s.zone }

// ID returns the id of the server, which Replace changes.
func (s *Server) ID() string { return s.id.Load().(string) }

// SetState sets the state that the server reports: "ready" or "draining".
func (s *Server) SetState(state string) { s.state.Store(state) }

// SetCold makes the server cold for a while; its next heartbeat says so.
func (s *Server) SetCold(d time.Duration) {
	now := time.Now()
	s.coldSince.Store(now.UnixMilli())
	s.coldUntil.Store(now.Add(d).UnixMilli())
}

func (s *Server) coldRemaining() time.Duration {
	return max(0, time.Until(time.UnixMilli(s.coldUntil.Load())))
}

// ColdArrivals returns the number of requests that arrived in the last second while the
// server was cold; 0 when it is warm.
func (s *Server) ColdArrivals() (n int) {
	if s.coldRemaining() == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	from := time.Now().Add(-time.Second)
	if since := time.UnixMilli(s.coldSince.Load()); since.After(from) {
		from = since
	}
	for i := len(s.arrivals) - 1; i >= 0 && s.arrivals[i].After(from); i-- {
		n++
	}
	return n
}

// MostArrivals returns the largest number of requests that arrived in any second from a time
// on, and the number of all.
func (s *Server) MostArrivals(from time.Time) (most, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, first := range s.arrivals {
		if first.Before(from) {
			continue
		}
		total++
		n := 0
		for _, t := range s.arrivals[i:] {
			if t.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most, total
}

// SetVersion sets the version of the server's software.
func (s *Server) SetVersion(v string) { s.version.Store(v) }

// Version returns the version of the server's software.
func (s *Server) Version() string { return s.version.Load().(string) }

// FailsCurrentRequest reports whether the last request that began to run fails.
func (s *Server) FailsCurrentRequest() bool { return s.failing.Load() && s.runCount.Load()%2 == 0 }

// SetFailing sets whether every second call fails.
func (s *Server) SetFailing(failing bool) { s.failing.Store(failing) }

// SetWorkTime sets the duration of a request.
func (s *Server) SetWorkTime(d time.Duration) { s.workMS.Store(d.Milliseconds()) }

// RunCount returns the number of requests that began to run.
func (s *Server) RunCount() int64 { return s.runCount.Load() }

// DrainAckedAt returns when the node acknowledged that the server drains, zero before
// that.
func (s *Server) DrainAckedAt() time.Time {
	if ms := s.drainAckedAt.Load(); ms != 0 {
		return time.UnixMilli(ms)
	}
	return time.Time{}
}

// Replace turns the server into another one, which has just started with its own id.
func (s *Server) Replace(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id.Store(id)
	s.startedAt.Store(time.Now().UnixMilli())
	s.SetCold(s.ColdStart)
	s.sequence.Store(0)
	s.drainAckedAt.Store(0)
	s.state.Store("ready")
	s.heartbeatsPaused.Store(false)
}

// Crash ends the server and all its requests; it restarts after 1.5 s.
func (s *Server) Crash() {
	s.crashCount.Add(1)
	s.down.Store(true)
	address := s.Listener.Addr().String()
	_ = (*s.listener.Load()).Close()
	s.CloseClientConnections()
	time.AfterFunc(1500*time.Millisecond, func() {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			panic(err)
		}
		s.listener.Store(&listener)
		s.startedAt.Store(time.Now().UnixMilli())
		s.SetCold(s.ColdStart)
		s.sequence.Store(0)
		s.down.Store(false)
		_ = s.Config.Serve(listener)
	})
}

// sendHeartbeats sends heartbeats to the node until the server is stopped.
func (s *Server) sendHeartbeats(control string) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if !s.heartbeatsPaused.Load() && !s.down.Load() {
			s.sendHeartbeat(control)
		}
		select {
		case <-ticker.C:
		case <-s.stopped:
			return
		}
	}
}

func (s *Server) sendHeartbeat(control string) {
	state, born := s.state.Load().(string), s.startedAt.Load()
	if s.SendAnnouncement(control, s.Heartbeat()) && state == "draining" {
		s.recordDrainAck(born)
	}
}

// recordDrainAck records the acknowledgement of the drain of the server that started at a
// time. It may arrive when another server has taken its place.
func (s *Server) recordDrainAck(born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.Load() == born {
		s.drainAckedAt.CompareAndSwap(0, time.Now().UnixMilli())
	}
}

// Announcement is a message of a server to its node.
type Announcement struct {
	path string
	body []byte
}

// Heartbeat returns the server's next heartbeat.
func (s *Server) Heartbeat() Announcement {
	return s.announcement("heartbeat", map[string]any{
		"Address":     s.appAddress,
		"Information": map[string]any{"Service": Service, "Version": s.version.Load(), "Zone": s.zone, "Slots": 8},
		"Status":      map[string]any{"State": s.state.Load(), "Sequence": s.sequence.Add(1), "ColdRemainingS": s.coldRemaining().Seconds()},
		"born":        s.startedAt.Load(),
	})
}

// OddHeartbeat returns a heartbeat of another writer: it has no address and a later start.
func (s *Server) OddHeartbeat() Announcement {
	return s.announcement("heartbeat", map[string]any{
		"Information": map[string]any{"Service": Service, "Version": s.version.Load(), "Zone": s.zone, "Slots": 8},
		"Status":      map[string]any{"State": "ready", "Sequence": 1},
		"born":        s.startedAt.Load() + 1,
	})
}

// SendLeave sends the notice that the server leaves until it is acknowledged or the limit
// has passed, and reports whether it was. The server serves on and sends no heartbeats.
func (s *Server) SendLeave(control string, limit time.Duration) bool {
	notice, born := s.Leave(), s.startedAt.Load()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(heartbeatInterval) {
		if s.SendAnnouncement(control, notice) {
			s.recordDrainAck(born)
			return true
		}
	}
	return false
}

// Leave stops the heartbeats and returns the notice that the server leaves.
func (s *Server) Leave() Announcement {
	s.heartbeatsPaused.Store(true)
	return s.announcement("leave", map[string]any{"born": s.startedAt.Load()})
}

func (s *Server) announcement(kind string, content map[string]any) Announcement {
	body, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	return Announcement{path: "/instances/" + s.ID() + "/" + kind, body: body}
}

// announcer gives up an announcement after the time that a server waits for the
// acknowledgement; the node may be paused.
var announcer = &http.Client{Timeout: time.Second}

// SendAnnouncement sends an announcement and reports whether it was acknowledged. While
// the node is down, it is not; the next heartbeat retries.
func (s *Server) SendAnnouncement(control string, a Announcement) bool {
	response, err := announcer.Post("http://"+control+a.path, "application/json", bytes.NewReader(a.body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
