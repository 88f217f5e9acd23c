package upstreambeats

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

// hearing is what the server said about its cold state, and when.
type hearing struct {
	at        time.Time // zero: the server was not heard, or can't be reached since
	coldUntil time.Time
}

// heartbeat records a server's own announcement, which replaces what it said before.
func (h *hearing) heartbeat(cold time.Duration, now time.Time) {
	*h = hearing{at: now, coldUntil: now.Add(cold)}
}

// health records a response to a health check. It only extends the cold state, since a
// server's health responses may lag behind its heartbeats.
func (h *hearing) health(at, coldUntil time.Time) {
	h.at = at
	if coldUntil.After(h.coldUntil) {
		h.coldUntil = coldUntil
	}
}

// healthReport is the result of one health check of a server that is in use.
type healthReport struct {
	// Process is the process in use when the check began.
	Process string
	// Heard is set when that server answered and said how long it stays cold; otherwise its
	// connection was refused or another server answered.
	Heard     bool
	ColdUntil time.Time
	At        time.Time // when the check began
}

// healthReportRing leads from the cold watch to the announce duty. A newer report
// replaces an older one.
type healthReportRing = kernel.Ring[healthReport]

// applyHealth applies the report of a health check, unless a heartbeat is newer or the
// server was replaced. A server that can't be reached counts as not heard.
func (t *tracker) applyHealth(report *healthReport) {
	if !t.identified || report.Process != t.member.Endpoint.Process || !report.At.After(t.heard.at) {
		return
	}
	if report.Heard {
		t.heard.health(report.At, report.ColdUntil)
	} else {
		t.heard.at = time.Time{}
	}
	t.publishLocal()
}

func newHealthClient() *http.Client {
	return &http.Client{Timeout: healthCheckTimeout, Transport: port.NewTransport(&http.Transport{DisableKeepAlives: true})}
}

// maxCold bounds what a server says about its cold state, so that it fits in a duration.
const maxCold = time.Hour

// readCold reads how long a server stays cold from a health response.
func readCold(h http.Header, name string) (cold time.Duration, told bool) {
	ms, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil || !(ms >= 0) { // also not a number
		return 0, false
	}
	return time.Duration(min(ms, float64(maxCold.Milliseconds())) * float64(time.Millisecond)), true
}

type coldWatchIn struct {
	fx.In
	PlatformSettings *port.PlatformSettings
	Headers          port.CallHeaders
	Local            *port.LocalCell
	Snapshot         *port.SnapshotCell
	Reports          *healthReportRing
}

// coldWatch is the duty that asks the server in use how long it stays cold. It does so only
// if the service bounds the requests to cold servers and has a health check.
type coldWatch struct {
	coldWatchIn
	client *http.Client
}

func newColdWatch(in coldWatchIn) kernel.Duty {
	w := &coldWatch{coldWatchIn: in, client: newHealthClient()}
	return kernel.Duty{Name: "cold-watch", Owns: "–", Out: []string{healthRing}, Run: w.run}
}

func (w *coldWatch) run(ctx context.Context) error {
	ticker := time.NewTicker(max(w.PlatformSettings.Heartbeat/coldChecks, minColdCheckInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.check(ctx)
		}
	}
}

func (w *coldWatch) check(ctx context.Context) {
	local, snapshot := w.Local.Load(), w.Snapshot.Load()
	if local == nil || local.Endpoint.State != mesh.EndpointReady || snapshot == nil {
		return
	}
	service := snapshot.Services[local.Endpoint.Service]
	if service.ColdRate <= 0 || service.HealthPath == "" {
		return
	}
	report := healthReport{Process: local.Endpoint.Process, At: time.Now()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+local.Address.String()+service.HealthPath, nil)
	if err != nil {
		return // the path in the configuration is not usable
	}
	response, err := w.client.Do(request)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
	case err != nil:
		return // a busy server answers late; missing heartbeats tell of a dead one
	default:
		_ = response.Body.Close()
		cold, told := readCold(response.Header, w.Headers.ColdMS)
		if !told {
			return
		}
		report.ColdUntil = time.Now().Add(cold)
		report.Heard = response.Header.Get(w.Headers.Instance) == local.Endpoint.Instance
	}
	_ = w.Reports.Send(ctx, report) // replaces the oldest, never fails
}
