// Package quarantine detects requests that crash the upstreams running them, by the
// fingerprints of the calls in flight at each crash.
package quarantine

import (
	"maps"
	"slices"
	"time"

	"teaselring/mesh"
)

// Params are the parameters of a Table.
type Params struct {
	// Span is the duration of a quarantine, and the window in which two crashes must
	// occur to start one.
	Span time.Duration
	// MaxCrashes bounds the crash reports kept, MaxPerCrash the fingerprints in
	// each.
	MaxCrashes  int
	MaxPerCrash int
	// MaxBlocked bounds the fingerprints in quarantine.
	MaxBlocked int
	// MaxHarmless bounds the fingerprints recorded as harmless.
	MaxHarmless int
	// MaxKnownReports bounds the reports kept to detect duplicates; further reports
	// are ignored. It is several times the number of upstreams: nodes forward new
	// reports, so a report dropped from the table would circulate again.
	MaxKnownReports int
	// MaxShared bounds the fingerprints that are passed on to a starting node.
	MaxShared int
}

// DefaultParams returns the values used in production. MaxPerCrash is the
// largest number of slots that a service record can declare. MaxShared fingerprints
// have 72 KB in a message.
func DefaultParams() Params {
	return Params{
		Span: 10 * time.Minute, MaxCrashes: 128, MaxPerCrash: 4096, MaxBlocked: 4096, MaxHarmless: 8192,
		MaxKnownReports: 8192, MaxShared: 8192,
	}
}

// Table holds the crash reports of all nodes. A fingerprint that was in flight in
// crashes of two different processes is quarantined, unless a call with it has
// completed on this node: a popular request is in flight at most crashes without
// causing them. It is not safe for concurrent use.
type Table struct {
	params        Params
	reported      map[processKey]time.Time // time of the first report
	crashes       []crash                  // by time of the first report
	blocked       map[requestKey]time.Time // end of the quarantine
	harmless      map[requestKey]time.Time // last completion
	harmlessOrder []requestKey             // keys of harmless, a ring of MaxHarmless
	harmlessNext  int
}

// requestKey identifies a request of a service.
type requestKey struct {
	service     mesh.ServiceID
	fingerprint uint64
}

// processKey identifies an upstream process.
type processKey struct {
	node mesh.NodeID
	name string
}

type crash struct {
	processKey
	service      mesh.ServiceID
	fingerprints map[uint64]struct{}
	at           time.Time // of the first report
}

// New returns an empty table.
func New(params Params) *Table {
	return &Table{
		params: params, reported: map[processKey]time.Time{},
		blocked: map[requestKey]time.Time{}, harmless: map[requestKey]time.Time{},
	}
}

// Report records a crash, once for each process. A report that another node has kept
// counts from its first report (Age); without that, a report passed on at each restart
// of a node would never expire. It returns whether the report is new, and the
// fingerprints that it adds to the quarantine.
func (t *Table) Report(c *mesh.Crash, now time.Time) (isNew bool, quarantined []uint64) {
	t.Expire(now)
	at := now.Add(-max(c.Age, 0))
	key := processKey{c.Node, c.Process}
	if _, duplicate := t.reported[key]; duplicate || len(t.reported) >= t.params.MaxKnownReports || now.Sub(at) >= t.params.Span {
		return false, nil
	}
	t.reported[key] = at
	added := t.addCrash(c, at)
	for print := range added.fingerprints {
		request := requestKey{c.Service, print}
		other, found := t.lastOtherCrash(&added, print)
		if found && !t.isHarmless(request, now) && t.block(request, mesh.Later(at, other)) {
			quarantined = append(quarantined, print)
		}
	}
	return true, quarantined
}

// addCrash inserts a crash by its time. At MaxCrashes it evicts the oldest.
func (t *Table) addCrash(c *mesh.Crash, at time.Time) crash {
	added := crash{processKey: processKey{c.Node, c.Process}, service: c.Service, at: at, fingerprints: map[uint64]struct{}{}}
	for _, print := range c.Fingerprints[:min(len(c.Fingerprints), t.params.MaxPerCrash)] {
		added.fingerprints[print] = struct{}{}
	}
	if len(t.crashes) >= t.params.MaxCrashes {
		t.crashes = t.crashes[1:]
	}
	i := len(t.crashes)
	for i > 0 && t.crashes[i-1].at.After(at) {
		i--
	}
	t.crashes = slices.Insert(t.crashes, i, added)
	return added
}

// lastOtherCrash returns the time of the last crash of another process of the service
// in which the fingerprint was in flight.
func (t *Table) lastOtherCrash(added *crash, print uint64) (at time.Time, found bool) {
	for i := len(t.crashes) - 1; i >= 0; i-- {
		c := &t.crashes[i]
		if c.processKey == added.processKey || c.service != added.service {
			continue
		}
		if _, found := c.fingerprints[print]; found {
			return c.at, true
		}
	}
	return time.Time{}, false
}

// block starts or renews a quarantine, which lasts for Span from a crash, and reports
// whether it started one.
func (t *Table) block(key requestKey, crashedAt time.Time) bool {
	end, exists := t.blocked[key]
	if !exists && len(t.blocked) >= t.params.MaxBlocked {
		return false
	}
	t.blocked[key] = mesh.Later(end, crashedAt.Add(t.params.Span))
	return !exists
}

// Recent returns the reports of a service's crashes, the newest first, with the requests
// that are not known to be harmless. A report of harmless requests only is returned
// without fingerprints: it shows a starting node that they are harmless. No more than
// MaxShared fingerprints are returned in all.
func (t *Table) Recent(service mesh.ServiceID, now time.Time) (reports []mesh.Crash) {
	t.Expire(now)
	left := t.params.MaxShared
	for i := len(t.crashes) - 1; i >= 0; i-- {
		c := &t.crashes[i]
		if c.service != service {
			continue
		}
		prints := slices.DeleteFunc(slices.Sorted(maps.Keys(c.fingerprints)), func(print uint64) bool {
			return t.isHarmless(requestKey{service, print}, now)
		})
		if left -= len(prints); left < 0 {
			break
		}
		reports = append(reports, mesh.Crash{Service: service, Node: c.node, Process: c.name, Fingerprints: prints, Age: now.Sub(c.at)})
	}
	return reports
}

// Blocked reports whether the request is in quarantine.
func (t *Table) Blocked(service mesh.ServiceID, fingerprint uint64, now time.Time) bool {
	end, found := t.blocked[requestKey{service, fingerprint}]
	return found && now.Before(end)
}

// RecordCompletion records that a call ended without a crash, so that the request is
// harmless for Span. It does not end a quarantine: a blocked request does not run.
func (t *Table) RecordCompletion(service mesh.ServiceID, fingerprint uint64, now time.Time) {
	key := requestKey{service, fingerprint}
	if _, found := t.harmless[key]; !found {
		t.addHarmless(key)
	}
	t.harmless[key] = now
}

// addHarmless adds a harmless request. At MaxHarmless it evicts the oldest entry.
func (t *Table) addHarmless(key requestKey) {
	if len(t.harmlessOrder) < t.params.MaxHarmless {
		t.harmlessOrder = append(t.harmlessOrder, key)
		return
	}
	delete(t.harmless, t.harmlessOrder[t.harmlessNext])
	t.harmlessOrder[t.harmlessNext] = key
	t.harmlessNext = (t.harmlessNext + 1) % len(t.harmlessOrder)
}

func (t *Table) isHarmless(key requestKey, now time.Time) bool {
	at, found := t.harmless[key]
	return found && now.Sub(at) < t.params.Span
}

// Expire removes ended quarantines and the reports of crashes older than Span.
func (t *Table) Expire(now time.Time) {
	for key, end := range t.blocked {
		if !now.Before(end) {
			delete(t.blocked, key)
		}
	}
	for key, at := range t.reported {
		if now.Sub(at) >= t.params.Span {
			delete(t.reported, key)
		}
	}
	for len(t.crashes) > 0 && now.Sub(t.crashes[0].at) >= t.params.Span {
		t.crashes = t.crashes[1:]
	}
}

// Len returns the number of requests in quarantine.
func (t *Table) Len() int { return len(t.blocked) }
