// Package quarantine finds requests that crash the upstreams that run them, by
// the fingerprints of the calls in flight at each crash.
package quarantine

import (
	"time"

	"teaselring/mesh"
)

// Params are the constants of a Table.
type Params struct {
	// Span is the time for which a request is quarantined, and in which two
	// crashes are held against it.
	Span time.Duration
	// MaxCrashes bounds the crash reports kept, MaxPerCrash the fingerprints of
	// each.
	MaxCrashes  int
	MaxPerCrash int
	// MaxBlocked bounds the fingerprints in quarantine.
	MaxBlocked int
	// MaxHarmless bounds the fingerprints remembered as harmless.
	MaxHarmless int
	// MaxSeen bounds the reports recognised as duplicates. It is several times
	// the number of upstreams: nodes pass new reports on, so a forgotten one
	// would circulate. Reports beyond it are ignored.
	MaxSeen int
}

// DefaultParams returns the values used in production. MaxPerCrash is the
// largest number of slots that a service record can declare.
func DefaultParams() Params {
	return Params{
		Span: 10 * time.Minute, MaxCrashes: 128, MaxPerCrash: 4096, MaxBlocked: 4096, MaxHarmless: 8192,
		MaxSeen: 8192,
	}
}

// Table collects crash reports of all nodes. A fingerprint that was in flight
// in crashes of two different processes is quarantined, unless this node saw a
// call with it end normally: a popular request is in flight at most crashes
// without being their cause. It is not safe for concurrent use.
type Table struct {
	params   Params
	seen     map[process]time.Time // first report
	crashes  []crash               // in order of arrival
	blocked  map[id]time.Time      // until
	harmless map[id]time.Time      // last normal end
	order    []id                  // of harmless, a ring of MaxHarmless
	next     int
}

// id names a request of a service.
type id struct {
	service     mesh.ServiceID
	fingerprint uint64
}

// process names one life of an upstream.
type process struct {
	node mesh.NodeID
	name string
}

type crash struct {
	process
	service mesh.ServiceID
	prints  map[uint64]struct{}
	at      time.Time // of the first report
}

// New returns an empty table.
func New(params Params) *Table {
	return &Table{
		params: params, seen: map[process]time.Time{},
		blocked: map[id]time.Time{}, harmless: map[id]time.Time{},
	}
}

// Report takes over a crash. It returns whether the report is new, and the
// fingerprints that are quarantined because of it. Reports of one process
// count once.
func (t *Table) Report(c *mesh.Crash, now time.Time) (isNew bool, quarantined []uint64) {
	t.Expire(now)
	key := process{c.Node, c.Process}
	if _, known := t.seen[key]; known || len(t.seen) >= t.params.MaxSeen {
		return false, nil
	}
	t.seen[key] = now
	added := t.add(c, now)
	for print := range added.prints {
		request := id{c.Service, print}
		if t.seenBefore(&added, print) && !t.isHarmless(request, now) && t.block(request, now) {
			quarantined = append(quarantined, print)
		}
	}
	return true, quarantined
}

func (t *Table) add(c *mesh.Crash, now time.Time) crash {
	added := crash{process: process{c.Node, c.Process}, service: c.Service, at: now, prints: map[uint64]struct{}{}}
	for _, print := range c.Fingerprints[:min(len(c.Fingerprints), t.params.MaxPerCrash)] {
		added.prints[print] = struct{}{}
	}
	if len(t.crashes) >= t.params.MaxCrashes {
		t.crashes = t.crashes[1:]
	}
	t.crashes = append(t.crashes, added)
	return added
}

// seenBefore reports whether another process of the service crashed with the
// fingerprint in flight.
func (t *Table) seenBefore(added *crash, print uint64) bool {
	for i := range t.crashes {
		c := &t.crashes[i]
		if c.process == added.process || c.service != added.service {
			continue
		}
		if _, found := c.prints[print]; found {
			return true
		}
	}
	return false
}

// block starts or renews a quarantine and reports whether it is new.
func (t *Table) block(key id, now time.Time) bool {
	_, known := t.blocked[key]
	if !known && len(t.blocked) >= t.params.MaxBlocked {
		return false
	}
	t.blocked[key] = now.Add(t.params.Span)
	return !known
}

// Blocked reports whether the request is in quarantine.
func (t *Table) Blocked(service mesh.ServiceID, fingerprint uint64, now time.Time) bool {
	until, found := t.blocked[id{service, fingerprint}]
	return found && now.Before(until)
}

// Completed records that a call ended without a crash, so the request is
// harmless for the span. It does not lift a quarantine: a blocked request does
// not run.
func (t *Table) Completed(service mesh.ServiceID, fingerprint uint64, now time.Time) {
	key := id{service, fingerprint}
	if _, known := t.harmless[key]; !known {
		t.remember(key)
	}
	t.harmless[key] = now
}

// remember makes room for one more harmless request by dropping the one that
// was added first.
func (t *Table) remember(key id) {
	if len(t.order) < t.params.MaxHarmless {
		t.order = append(t.order, key)
		return
	}
	delete(t.harmless, t.order[t.next])
	t.order[t.next] = key
	t.next = (t.next + 1) % len(t.order)
}

func (t *Table) isHarmless(key id, now time.Time) bool {
	at, found := t.harmless[key]
	return found && now.Sub(at) < t.params.Span
}

// Expire drops quarantines that have ended and crashes that no longer count.
func (t *Table) Expire(now time.Time) {
	for key, until := range t.blocked {
		if !now.Before(until) {
			delete(t.blocked, key)
		}
	}
	for key, at := range t.seen {
		if now.Sub(at) >= t.params.Span {
			delete(t.seen, key)
		}
	}
	for len(t.crashes) > 0 && now.Sub(t.crashes[0].at) >= t.params.Span {
		t.crashes = t.crashes[1:]
	}
}

// Len returns the number of requests in quarantine.
func (t *Table) Len() int { return len(t.blocked) }
