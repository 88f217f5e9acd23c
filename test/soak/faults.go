package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"teaselring/test/harness"
	"teaselring/test/sidecar"
)

const (
	storeLatency  = 250 * time.Millisecond // in each direction
	peerLatency   = 80 * time.Millisecond
	serverLatency = 30 * time.Millisecond
	writeDelay    = 1500 * time.Millisecond
	lostResponses = 3
	// maxStopTime is at least the platform's time between SIGTERM and SIGKILL.
	maxStopTime = 6 * time.Second
	// maxAckWait is how long a draining server waits for the acknowledgement at most.
	maxAckWait = 4 * time.Second
	// maxLateness is how late a heartbeat from before a leave arrives.
	maxLateness = 3 * time.Second
	// maxServingOn is how long a server serves after its drain was acknowledged.
	maxServingOn = 8 * time.Second
	// addressReuseDelay is the time between the end of a server and the reuse of its address.
	addressReuseDelay = 2 * time.Second
)

// fault is one kind of fault. All bounds apply during a planned one. A resource has at
// most one fault at a time.
type fault struct {
	name     string
	resource string
	planned  bool
	// inject starts the fault on a machine, or on all if resource is "all". The
	// returned function ends it as soon as it can and reports whether it has ended;
	// due tells whether the duration of the fault is over.
	inject func(f *fleet, i int) (end func(due bool) bool)
}

// healWhenDue heals a fault when its time is over.
func healWhenDue(heal func()) func(bool) bool {
	return func(due bool) bool {
		if due {
			heal()
		}
		return due
	}
}

func linkFault(name string, link sidecar.Link, apply func(*harness.Proxy)) fault {
	return fault{name: name, resource: string(link), inject: func(f *fleet, i int) func(bool) bool {
		p := f.proxies[i][link]
		apply(p)
		return healWhenDue(p.Heal)
	}}
}

func storeFault(name string, apply, heal func(*sidecar.Store)) fault {
	return fault{name: name, resource: "all", inject: func(f *fleet, _ int) func(bool) bool {
		apply(f.mesh.Store)
		return healWhenDue(func() { heal(f.mesh.Store) })
	}}
}

func noHeal(*sidecar.Store) {}

var serverCrashed = fault{name: "server crashed", resource: "upstream", inject: func(f *fleet, i int) func(bool) bool {
	f.mesh.Machines[i].Server.Crash()
	end := time.Now().Add(addressReuseDelay)
	return func(bool) bool { return time.Now().After(end) }
}}

var faults = []fault{
	{name: "process paused", resource: "process", inject: func(f *fleet, i int) func(bool) bool {
		f.mesh.Machines[i].Pause()
		return healWhenDue(f.mesh.Machines[i].Resume)
	}},
	{name: "process killed", resource: "process", inject: func(f *fleet, i int) func(bool) bool {
		f.mesh.Machines[i].Kill()
		return healWhenDue(func() { f.restart(i) })
	}},
	{name: "process stopped", resource: "process", planned: true, inject: stopProcess},
	{name: "settings changed", resource: "process", planned: true, inject: func(f *fleet, i int) func(bool) bool {
		if err := syscall.Kill(f.mesh.Machines[i].PID(), syscall.SIGHUP); err != nil {
			f.ledger.addViolation("SOAK", "SIGHUP to %s: %v", f.mesh.Machines[i].String(), err)
		}
		return healWhenDue(func() {})
	}},
	{name: "server replaced", resource: "upstream", planned: true, inject: replaceServer},
	serverCrashed,

	linkFault("store silent", sidecar.ToStore, func(p *harness.Proxy) { p.Silence(harness.BothDirections...) }),
	linkFault("nothing reaches the store", sidecar.ToStore, func(p *harness.Proxy) { p.Silence(harness.ToServer) }),
	linkFault("nothing arrives from the store", sidecar.ToStore, func(p *harness.Proxy) { p.Silence(harness.FromServer) }),
	linkFault("store slow", sidecar.ToStore, func(p *harness.Proxy) { p.Latency(storeLatency, harness.BothDirections...) }),
	linkFault("store reset", sidecar.ToStore, (*harness.Proxy).Reset),
	linkFault("open connections to the store silent", sidecar.ToStore, func(p *harness.Proxy) { p.SilenceOpen(harness.BothDirections...) }),
	{name: "store refuses the machine", resource: string(sidecar.ToStore), inject: func(f *fleet, i int) func(bool) bool {
		name := f.mesh.Machines[i].String()
		f.mesh.Store.Refuse(name, http.StatusTooManyRequests)
		return healWhenDue(func() { f.mesh.Store.Refuse(name, 0) })
	}},

	linkFault("peers silent", sidecar.Inbound, func(p *harness.Proxy) { p.Silence(harness.BothDirections...) }),
	linkFault("nothing arrives from peers", sidecar.Inbound, func(p *harness.Proxy) { p.Silence(harness.ToServer) }),
	linkFault("nothing reaches peers", sidecar.Inbound, func(p *harness.Proxy) { p.Silence(harness.FromServer) }),
	linkFault("peers slow", sidecar.Inbound, func(p *harness.Proxy) { p.Latency(peerLatency, harness.BothDirections...) }),
	linkFault("peers reset", sidecar.Inbound, (*harness.Proxy).Reset),
	linkFault("open connections of peers silent", sidecar.Inbound, func(p *harness.Proxy) { p.SilenceOpen(harness.BothDirections...) }),

	linkFault("server slow", sidecar.ToServer, func(p *harness.Proxy) { p.Latency(serverLatency, harness.BothDirections...) }),
	linkFault("server reset", sidecar.ToServer, (*harness.Proxy).Reset),
	linkFault("responses of the server held back", sidecar.ToServer, func(p *harness.Proxy) { p.Silence(harness.FromServer) }),

	storeFault("store down", func(s *sidecar.Store) { s.Refuse("", http.StatusServiceUnavailable) }, func(s *sidecar.Store) { s.Refuse("", 0) }),
	storeFault("store loses responses", func(s *sidecar.Store) { s.DropResponses(lostResponses, 0) }, noHeal),
	storeFault("store writes late", func(s *sidecar.Store) { s.DropResponses(lostResponses, writeDelay) }, func(s *sidecar.Store) { s.DropResponses(0, 0) }),
	storeFault("store drops its history", (*sidecar.Store).DropHistory, noHeal),
}

func (f *fleet) restart(i int) {
	m := f.mesh.Machines[i]
	f.incarnations[m.String()].Add(1)
	m.Restart()
}

// stopProcess sends SIGTERM and restarts the process once it has exited.
func stopProcess(f *fleet, i int) func(bool) bool {
	m := f.mesh.Machines[i]
	m.Terminate()
	deadline := time.Now().Add(maxStopTime)
	return func(bool) bool {
		select {
		case <-m.Exited():
		default:
			if time.Now().Before(deadline) {
				return false
			}
			f.ledger.addViolation("SOAK", "%s has not exited %v after SIGTERM", m.String(), maxStopTime)
		}
		f.restart(i)
		return true
	}
}

// replaceServer drains a server and then starts another one at its address. In half of the
// cases the server leaves by a notice, and a heartbeat from before arrives late; in half
// of the cases another writer sends an odd heartbeat first.
func replaceServer(f *fleet, i int) func(bool) bool {
	m := f.mesh.Machines[i]
	s := m.Server
	if f.variants.IntN(2) == 0 {
		s.SendAnnouncement(m.Address.Control, s.OddHeartbeat())
	}
	if f.variants.IntN(2) == 0 {
		late := s.Heartbeat()
		go s.SendLeave(m.Address.Control, maxAckWait)
		time.AfterFunc(time.Duration(f.variants.Int64N(int64(maxLateness))), func() { s.SendAnnouncement(m.Address.Control, late) })
	} else {
		s.SetState("draining")
	}
	servingOn := drainBound + addressReuseDelay + time.Duration(f.variants.Int64N(int64(maxServingOn)))
	drainStart := time.Now()
	return func(bool) bool {
		ackedAt := s.DrainAckedAt()
		if time.Since(drainStart) < maxAckWait+addressReuseDelay {
			return false // a late announcement may still be on its way
		}
		if !ackedAt.IsZero() && time.Since(ackedAt) < servingOn {
			return false
		}
		f.replacements++
		s.Replace(fmt.Sprintf("%s-%d", s.ID(), f.replacements))
		return true
	}
}
