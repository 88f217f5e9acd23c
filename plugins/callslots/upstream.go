package callslots

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

const (
	// lostSpan is the time for which a lost attempt counts towards a crash. An
	// upstream is gone 3 s after its last announcement, which comes each second.
	lostSpan = 10 * time.Second
	// maxLost bounds the lost attempts remembered; no upstream has more slots.
	maxLost = 4096
	// settleCrash is the time between the end of a process and its report, in
	// which the edges report the attempts that they lost.
	settleCrash = 500 * time.Millisecond
	// auditWait bounds the wait for a place in the audit ring, which counts the
	// entries that it refuses.
	auditWait = 5 * time.Millisecond
)

// upstream is what the duty knows about the local upstream and about its
// processes that have ended.
type upstream struct {
	local    port.Local
	drainAt  time.Time // when new work is refused; zero: not draining
	lost     []lostAttempt
	reportAt time.Time // zero: no process to report
	ended    mesh.Endpoint
}

type lostAttempt struct {
	process     string
	fingerprint uint64
	at          time.Time
}

// accepts checks that the entry node chose what runs here now. The view of an
// entry node lags, so the answer makes it choose again.
func (u *upstream) accepts(q *port.Admit) error {
	e := &u.local.Endpoint
	switch {
	case e.State != mesh.EndpointReady && e.State != mesh.EndpointDraining:
		return result.Draining.Errorf("the upstream is not ready")
	case e.Service != q.Call.Service:
		return result.Draining.Errorf("the upstream serves %q, not %q", e.Service, q.Call.Service)
	case q.Version != "" && e.Version != q.Version:
		return result.Draining.Errorf("the upstream runs version %q, not %q", e.Version, q.Version)
	}
	return nil
}

func (u *upstream) noteLost(process string, fingerprint uint64, now time.Time) {
	if len(u.lost) >= maxLost {
		u.lost = u.lost[1:]
	}
	u.lost = append(u.lost, lostAttempt{process, fingerprint, now})
}

// noteDown takes a process that lost attempts and does not listen any more for
// ended, before its successor says so.
func (u *upstream) noteDown(process string, now time.Time) {
	lost := slices.ContainsFunc(u.lost, func(l lostAttempt) bool { return l.process == process })
	if lost && u.reportAt.IsZero() && process == u.local.Endpoint.Process {
		u.ended, u.reportAt = u.local.Endpoint, now.Add(settleCrash)
	}
}

// takeLost returns the fingerprints that a process lost recently, and forgets
// them and those that are too old to count.
func (u *upstream) takeLost(process string, now time.Time) (prints []uint64) {
	u.lost = slices.DeleteFunc(u.lost, func(l lostAttempt) bool {
		old := now.Sub(l.at) > lostSpan
		if !old && l.process == process && l.fingerprint != 0 && !slices.Contains(prints, l.fingerprint) {
			prints = append(prints, l.fingerprint)
		}
		return old || l.process == process
	})
	return prints
}

// observe takes over the state of the local upstream and the service's record,
// and reports a process that has ended.
func (d *duty) observe(ctx context.Context, now time.Time) {
	var local port.Local
	if published := d.in.Local.Load(); published != nil {
		local = *published
	}
	u := &d.upstream
	before, after := u.local.Endpoint, local.Endpoint
	u.local = local
	gone := after.State == mesh.EndpointGone || after.State == mesh.EndpointNone
	wasGone := before.State == mesh.EndpointGone || before.State == mesh.EndpointNone
	if before.Process != "" && (before.Process != after.Process || (gone && !wasGone)) {
		d.reportCrash(ctx, now) // of an earlier process that still waits
		u.ended, u.reportAt = before, now.Add(settleCrash)
	}
	if !u.reportAt.IsZero() && !now.Before(u.reportAt) {
		d.reportCrash(ctx, now)
	}
	d.slots.Resize(d.size(&after))
	d.slots.SetDraining(u.draining(now, drainGrace(d.in.Settings, d.in.Site)))
}

// drainGrace returns the time for which a draining upstream still gets calls. A
// platform's bound counts from the acknowledgement to the arrival at the server;
// half of it leaves room for the way there.
func drainGrace(s *Settings, site *port.Site) time.Duration {
	grace := s.DrainGrace.Duration
	if site != nil {
		grace = min(grace, site.Drain/2)
	}
	return grace
}

// draining reports whether new work is refused: at once when the upstream is
// not ready, and after the grace when it drains.
func (u *upstream) draining(now time.Time, grace time.Duration) bool {
	switch u.local.Endpoint.State {
	case mesh.EndpointReady:
		u.drainAt = time.Time{}
		return false
	case mesh.EndpointDraining:
		if u.drainAt.IsZero() {
			u.drainAt = now.Add(grace)
		}
		return !now.Before(u.drainAt)
	}
	return true
}

// size returns the slots and the length of the queue: what the upstream
// announced, but no more slots than the service's record allows.
func (d *duty) size(e *mesh.Endpoint) (slots, queue int) {
	slots, queue = e.Slots, d.in.Settings.DefaultQueue
	if snapshot := d.in.Snapshot.Load(); snapshot != nil {
		if s, found := snapshot.Services[e.Service]; found {
			slots, queue = min(slots, s.Slots), s.Queue
		}
	}
	return slots, queue
}

// reportCrash tells all nodes which requests an ended process was running, if
// it lost any. A process that ended without a lost attempt did not crash on one.
func (d *duty) reportCrash(ctx context.Context, now time.Time) {
	u := &d.upstream
	if u.reportAt.IsZero() {
		return
	}
	u.reportAt = time.Time{}
	prints := u.takeLost(u.ended.Process, now)
	if len(prints) == 0 {
		return
	}
	c := &mesh.Crash{
		Service: u.ended.Service, Node: d.self.node, Process: u.ended.Process, Fingerprints: prints, At: now,
	}
	quarantined := d.record(ctx, c, now)
	d.audit(ctx, c, quarantined)
	d.in.Logger.Warn().Str("service", string(c.Service)).Str("process", c.Process).
		Int("calls", len(prints)).Int("quarantined", len(quarantined)).Msg("upstream process crashed")
}

// record takes over a crash report and passes a new one on, so that it reaches
// nodes that are not linked with the reporting one.
func (d *duty) record(ctx context.Context, c *mesh.Crash, now time.Time) (quarantined []uint64) {
	isNew, quarantined := d.quarantine.Report(c, now)
	if isNew && d.in.Pushes != nil {
		_ = d.in.Pushes.Send(ctx, port.Push{Message: wire.Quarantine{Crash: *c}}) // replaces the oldest
	}
	return quarantined
}

func (d *duty) audit(ctx context.Context, c *mesh.Crash, quarantined []uint64) {
	if d.in.Audit == nil {
		return
	}
	entry := port.AuditEntry{
		Stream: fmt.Sprintf("node/%s/%d", d.self.node, d.self.incarnation),
		Time:   c.At, Who: string(c.Node), Action: "upstream_crashed", Subject: string(c.Service),
		From: c.Process, Why: fmt.Sprintf("%d requests in flight: %s", len(c.Fingerprints), hex(c.Fingerprints)),
	}
	if len(quarantined) > 0 {
		entry.Action, entry.Code = "quarantine", result.Quarantined.Number
		entry.Why = fmt.Sprintf("in flight at two crashes: %s", hex(quarantined))
	}
	wait, cancel := context.WithTimeout(ctx, auditWait)
	defer cancel()
	if err := d.in.Audit.Send(wait, entry); err != nil {
		d.in.Logger.Warn().Err(err).Str("action", entry.Action).Msg("audit entry dropped")
	}
}

// hex prints up to 8 fingerprints.
func hex(prints []uint64) string {
	shown := make([]string, 0, 9)
	for _, p := range prints[:min(len(prints), 8)] {
		shown = append(shown, fmt.Sprintf("%016x", p))
	}
	if len(prints) > 8 {
		shown = append(shown, "…")
	}
	return strings.Join(shown, " ")
}

// self is the node's own identity as the view has it.
type self struct {
	view        *mesh.View
	node        mesh.NodeID
	incarnation mesh.Incarnation
}

// is reports whether the incarnation is the present one of this node. It is
// false until the node appears in its own view.
func (s *self) is(view *mesh.View, incarnation mesh.Incarnation) bool {
	s.observe(view)
	return s.incarnation != 0 && incarnation == s.incarnation
}

func (s *self) observe(view *mesh.View) {
	if view == nil || view == s.view {
		return
	}
	s.view, s.node = view, view.Self
	i := sort.Search(len(view.Members), func(i int) bool { return view.Members[i].Node >= view.Self })
	if i < len(view.Members) && view.Members[i].Node == view.Self {
		s.incarnation = view.Members[i].Incarnation
	}
}
