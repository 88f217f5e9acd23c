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
	storeSlow   = 250 * time.Millisecond // in each direction
	linkSlow    = 80 * time.Millisecond
	serverSlow  = 30 * time.Millisecond
	lateWrite   = 1500 * time.Millisecond
	lostAnswers = 3
	// stopMost is beyond the platform's time between SIGTERM and the kill.
	stopMost = 6 * time.Second
	// leaveMost is the time for a leaving server's acknowledgement.
	leaveMost = 4 * time.Second
	// reuseAfter is the time after a server's end until its address is used again.
	reuseAfter = 2 * time.Second
)

// fault is one kind of trouble. Planned work is no excuse for anything; what is
// claimed bears one fault at a time.
type fault struct {
	name    string
	claims  string
	planned bool
	// begin starts it on a machine, or on all when claims is "all". The returned
	// function ends it when it may, and reports whether it has ended.
	begin func(f *fleet, i int) (end func(over bool) bool)
}

// ending is for faults that end when their time is over.
func ending(heal func()) func(bool) bool {
	return func(over bool) bool {
		if over {
			heal()
		}
		return over
	}
}

func onLink(name string, link sidecar.Link, apply func(*harness.Proxy)) fault {
	return fault{name: name, claims: string(link), begin: func(f *fleet, i int) func(bool) bool {
		p := f.proxies[i][link]
		apply(p)
		return ending(p.Heal)
	}}
}

func onStore(name string, apply, heal func(*sidecar.Store)) fault {
	return fault{name: name, claims: "all", begin: func(f *fleet, _ int) func(bool) bool {
		apply(f.mesh.Store)
		return ending(func() { heal(f.mesh.Store) })
	}}
}

func nothing(*sidecar.Store) {}

var faults = []fault{
	{name: "process paused", claims: "process", begin: func(f *fleet, i int) func(bool) bool {
		f.mesh.Machines[i].Pause()
		return ending(f.mesh.Machines[i].Resume)
	}},
	{name: "process killed", claims: "process", begin: func(f *fleet, i int) func(bool) bool {
		f.mesh.Machines[i].Kill()
		return ending(func() { f.restart(i) })
	}},
	{name: "process stopped", claims: "process", planned: true, begin: stop},
	{name: "settings changed", claims: "process", planned: true, begin: func(f *fleet, i int) func(bool) bool {
		if err := syscall.Kill(f.mesh.Machines[i].PID(), syscall.SIGHUP); err != nil {
			f.ledger.violation("SOAK", "SIGHUP to %s: %v", f.mesh.Machines[i].String(), err)
		}
		return ending(func() {})
	}},
	{name: "server replaced", claims: "upstream", planned: true, begin: replace},
	{name: "server crashed", claims: "upstream", begin: func(f *fleet, i int) func(bool) bool {
		f.mesh.Machines[i].Server.Crash()
		end := time.Now().Add(reuseAfter)
		return func(bool) bool { return time.Now().After(end) }
	}},

	onLink("store silent", sidecar.ToStore, func(p *harness.Proxy) { p.Silence(harness.BothDirections...) }),
	onLink("store does not hear", sidecar.ToStore, func(p *harness.Proxy) { p.Silence(harness.ToServer) }),
	onLink("store not heard", sidecar.ToStore, func(p *harness.Proxy) { p.Silence(harness.FromServer) }),
	onLink("store slow", sidecar.ToStore, func(p *harness.Proxy) { p.Latency(storeSlow, harness.BothDirections...) }),
	onLink("store reset", sidecar.ToStore, (*harness.Proxy).Reset),
	onLink("open connections to the store silent", sidecar.ToStore, func(p *harness.Proxy) { p.SilenceOpen(harness.BothDirections...) }),
	{name: "store refuses the machine", claims: string(sidecar.ToStore), begin: func(f *fleet, i int) func(bool) bool {
		name := f.mesh.Machines[i].String()
		f.mesh.Store.Refuse(name, http.StatusTooManyRequests)
		return ending(func() { f.mesh.Store.Refuse(name, 0) })
	}},

	onLink("peers silent", sidecar.Inbound, func(p *harness.Proxy) { p.Silence(harness.BothDirections...) }),
	onLink("peers not heard", sidecar.Inbound, func(p *harness.Proxy) { p.Silence(harness.ToServer) }),
	onLink("not heard by peers", sidecar.Inbound, func(p *harness.Proxy) { p.Silence(harness.FromServer) }),
	onLink("peers slow", sidecar.Inbound, func(p *harness.Proxy) { p.Latency(linkSlow, harness.BothDirections...) }),
	onLink("peers reset", sidecar.Inbound, (*harness.Proxy).Reset),
	onLink("open connections of peers silent", sidecar.Inbound, func(p *harness.Proxy) { p.SilenceOpen(harness.BothDirections...) }),

	onLink("server slow", sidecar.ToServer, func(p *harness.Proxy) { p.Latency(serverSlow, harness.BothDirections...) }),
	onLink("server reset", sidecar.ToServer, (*harness.Proxy).Reset),
	onLink("answers of the server held back", sidecar.ToServer, func(p *harness.Proxy) { p.Silence(harness.FromServer) }),

	onStore("store down", func(s *sidecar.Store) { s.Refuse("", http.StatusServiceUnavailable) }, func(s *sidecar.Store) { s.Refuse("", 0) }),
	onStore("store loses answers", func(s *sidecar.Store) { s.LoseAnswers(lostAnswers, 0) }, nothing),
	onStore("store writes late", func(s *sidecar.Store) { s.LoseAnswers(lostAnswers, lateWrite) }, func(s *sidecar.Store) { s.LoseAnswers(0, 0) }),
	onStore("store forgets its history", (*sidecar.Store).Forget, nothing),
}

func (f *fleet) restart(i int) {
	m := f.mesh.Machines[i]
	f.lives[m.String()].Add(1)
	m.Restart()
}

// stop sends SIGTERM and starts the process again once it has ended by itself.
func stop(f *fleet, i int) func(bool) bool {
	m := f.mesh.Machines[i]
	m.Terminate()
	kill := time.Now().Add(stopMost)
	return func(bool) bool {
		select {
		case <-m.Exited():
		default:
			if time.Now().Before(kill) {
				return false
			}
			f.ledger.violation("SOAK", "%s has not ended %v after SIGTERM", m.String(), stopMost)
		}
		f.restart(i)
		return true
	}
}

// replace lets a server leave as planned; another one follows at its address.
func replace(f *fleet, i int) func(bool) bool {
	s := f.mesh.Machines[i].Server
	s.Set("draining")
	asked := time.Now()
	return func(bool) bool {
		acked := s.Acked()
		if acked.IsZero() && time.Since(asked) < leaveMost {
			return false
		}
		if !acked.IsZero() && time.Since(acked) < drainBound+reuseAfter {
			return false
		}
		f.replaced++
		s.Replace(fmt.Sprintf("%s-%d", s.ID(), f.replaced))
		return true
	}
}
