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
	// lostAttemptTTL is the time for which a lost attempt counts towards a crash. An
	// upstream announces itself each second and is gone 3 s after its last announcement.
	lostAttemptTTL = 10 * time.Second
	// maxLostAttempts bounds the lost attempts kept; no upstream has more slots.
	maxLostAttempts = 4096
	// crashReportDelay is the time between the end of a process and its crash report,
	// in which the edges report the attempts that they lost.
	crashReportDelay = 500 * time.Millisecond
	// auditTimeout bounds the wait for the audit ring, which counts the entries that
	// it refuses.
	auditTimeout = 5 * time.Millisecond
)

// upstream is the state of the local upstream and of its last process that ended.
type upstream struct {
	local         port.Local
	drainDeadline time.Time // from when new work is refused; zero: not draining
	lost          []lostAttempt
	crashReportAt time.Time     // zero: no crash to report
	ended         mesh.Endpoint // of the process to report
}

type lostAttempt struct {
	process     string
	fingerprint uint64
	at          time.Time
}

// checkTarget returns an error if the attempt must not run here now.
func (d *duty) checkTarget(q *port.Admit) error {
	if d.isEvacuated() {
		return result.Evacuated.Errorf("availability zone %q is being evacuated", d.in.Identity.Zone)
	}
	if d.in.Learned != nil && d.learned == nil {
		return result.Draining.Errorf("the node is starting and does not know yet which requests crash upstreams")
	}
	return d.upstream.checkTarget(q)
}

// isEvacuated reports whether the node's zone is being evacuated.
func (d *duty) isEvacuated() bool {
	return d.in.Evacuations != nil && d.in.Evacuations.Load().Has(d.in.Identity.Zone)
}

// learnCrashes records the crashes that a starting node has learned of from others.
func (d *duty) learnCrashes(now time.Time) {
	if d.in.Learned == nil {
		return
	}
	if learned := d.in.Learned.Load(); learned != d.learned {
		for i := range learned.Reports {
			d.quarantine.Report(&learned.Reports[i], now)
		}
		d.learned = learned
	}
}

// checkTarget checks that the entry node chose the service and version that run
// here now. The view of an entry node lags; the refusal makes it choose again.
func (u *upstream) checkTarget(q *port.Admit) error {
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

func (u *upstream) recordLost(process string, fingerprint uint64, now time.Time) {
	if len(u.lost) >= maxLostAttempts {
		u.lost = u.lost[1:]
	}
	u.lost = append(u.lost, lostAttempt{process, fingerprint, now})
}

// recordDown treats a process that lost attempts and no longer listens as ended,
// before its successor is announced.
func (u *upstream) recordDown(process string, now time.Time) {
	lost := slices.ContainsFunc(u.lost, func(l lostAttempt) bool { return l.process == process })
	if lost && u.crashReportAt.IsZero() && process == u.local.Endpoint.Process {
		u.ended, u.crashReportAt = u.local.Endpoint, now.Add(crashReportDelay)
	}
}

// takeLostFingerprints returns the fingerprints of the attempts that a process lost
// recently. It removes them and the expired ones.
func (u *upstream) takeLostFingerprints(process string, now time.Time) (fingerprints []uint64) {
	u.lost = slices.DeleteFunc(u.lost, func(l lostAttempt) bool {
		old := now.Sub(l.at) > lostAttemptTTL
		if !old && l.process == process && l.fingerprint != 0 && !slices.Contains(fingerprints, l.fingerprint) {
			fingerprints = append(fingerprints, l.fingerprint)
		}
		return old || l.process == process
	})
	return fingerprints
}

// refreshUpstream loads the state of the local upstream and the service's record,
// and reports the crash of a process that has ended.
func (d *duty) refreshUpstream(ctx context.Context, now time.Time) {
	d.learnCrashes(now)
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
		d.reportCrash(ctx, now) // of an earlier process whose report is pending
		u.ended, u.crashReportAt = before, now.Add(crashReportDelay)
	}
	if !u.crashReportAt.IsZero() && !now.Before(u.crashReportAt) {
		d.reportCrash(ctx, now)
	}
	d.refreshCold(now)
	d.slots.Resize(d.capacity(&after))
	d.slots.SetDraining(u.refusesNewWork(now, drainGrace(d.in.Settings, d.in.PlatformSettings)))
}

// drainGrace returns the time for which a draining upstream still gets calls. A
// platform's bound runs from the acknowledgement to the arrival at the server; half
// of it leaves time for the transmission.
func drainGrace(s *Settings, platformSettings *port.PlatformSettings) time.Duration {
	grace := s.DrainGrace.Duration
	if platformSettings != nil {
		grace = min(grace, platformSettings.DrainTime/2)
	}
	return grace
}

// refusesNewWork is true at once when the upstream is not ready, and after the
// grace when it drains.
func (u *upstream) refusesNewWork(now time.Time, grace time.Duration) bool {
	switch u.local.Endpoint.State {
	case mesh.EndpointReady:
		u.drainDeadline = time.Time{}
		return false
	case mesh.EndpointDraining:
		if u.drainDeadline.IsZero() {
			u.drainDeadline = now.Add(grace)
		}
		return !now.Before(u.drainDeadline)
	}
	return true
}

// capacity returns the number of slots and the length of the queue. The slots are
// those that the upstream announced, capped by the service's record. On the users' platform
// there are none before the first configuration: the upstream may be cold, and what it
// tolerates is not known.
func (d *duty) capacity(e *mesh.Endpoint) (slots, queue int) {
	slots, queue = e.Slots, d.in.Settings.DefaultQueue
	snapshot := d.in.Snapshot.Load()
	if snapshot == nil {
		if d.in.PlatformSettings != nil {
			slots = 0
		}
		return slots, queue
	}
	if s, found := snapshot.Services[e.Service]; found {
		slots, queue = min(slots, s.Slots), s.Queue
	}
	return slots, queue
}

// reportCrash reports to all nodes which requests an ended process was running.
// A process that lost no attempt when it ended is not reported: no request crashed it.
func (d *duty) reportCrash(ctx context.Context, now time.Time) {
	u := &d.upstream
	if u.crashReportAt.IsZero() {
		return
	}
	u.crashReportAt = time.Time{}
	fingerprints := u.takeLostFingerprints(u.ended.Process, now)
	if len(fingerprints) == 0 {
		return
	}
	crash := &mesh.Crash{
		Service: u.ended.Service, Node: d.self.node, Process: u.ended.Process, Fingerprints: fingerprints, At: now,
	}
	quarantined := d.recordCrash(ctx, crash, now)
	d.auditCrash(ctx, crash, quarantined)
	d.in.Logger.Warn().Str("service", string(crash.Service)).Str("process", crash.Process).
		Int("calls", len(fingerprints)).Int("quarantined", len(quarantined)).Msg("upstream process crashed")
}

// recordCrash records a crash report and forwards a new one, so that it reaches
// nodes without a link to the reporting node.
func (d *duty) recordCrash(ctx context.Context, crash *mesh.Crash, now time.Time) (quarantined []uint64) {
	isNew, quarantined := d.quarantine.Report(crash, now)
	if isNew && d.in.Pushes != nil {
		_ = d.in.Pushes.Send(ctx, port.Push{Message: wire.Quarantine{Crash: *crash}}) // replaces the oldest
	}
	return quarantined
}

func (d *duty) auditCrash(ctx context.Context, crash *mesh.Crash, quarantined []uint64) {
	if d.in.Audit == nil {
		return
	}
	entry := port.AuditEntry{
		Stream: fmt.Sprintf("node/%s/%d", d.self.node, d.self.incarnation),
		Time:   crash.At, Who: string(crash.Node), Action: "upstream_crashed", Subject: string(crash.Service),
		From: crash.Process, Why: fmt.Sprintf("%d requests in flight: %s", len(crash.Fingerprints), formatFingerprints(crash.Fingerprints)),
	}
	if len(quarantined) > 0 {
		entry.Action, entry.Code = "quarantine", result.Quarantined.Number
		entry.Why = fmt.Sprintf("in flight at two crashes: %s", formatFingerprints(quarantined))
	}
	auditCtx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	if err := d.in.Audit.Send(auditCtx, entry); err != nil {
		d.in.Logger.Warn().Err(err).Str("action", entry.Action).Msg("audit entry dropped")
	}
}

// formatFingerprints formats up to 8 fingerprints in hexadecimal.
func formatFingerprints(fingerprints []uint64) string {
	shown := make([]string, 0, 9)
	for _, p := range fingerprints[:min(len(fingerprints), 8)] {
		shown = append(shown, fmt.Sprintf("%016x", p))
	}
	if len(fingerprints) > 8 {
		shown = append(shown, "…")
	}
	return strings.Join(shown, " ")
}

// self is the node's own identity in the view.
type self struct {
	view        *mesh.View
	node        mesh.NodeID
	incarnation mesh.Incarnation
}

// isCurrent reports whether the incarnation is the current one of this node. It
// is false until the node appears in its own view.
func (s *self) isCurrent(view *mesh.View, incarnation mesh.Incarnation) bool {
	s.refresh(view)
	return s.incarnation != 0 && incarnation == s.incarnation
}

func (s *self) refresh(view *mesh.View) {
	if view == nil || view == s.view {
		return
	}
	s.view, s.node = view, view.Self
	i := sort.Search(len(view.Members), func(i int) bool { return view.Members[i].Node >= view.Self })
	if i < len(view.Members) && view.Members[i].Node == view.Self {
		s.incarnation = view.Members[i].Incarnation
	}
}
