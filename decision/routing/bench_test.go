package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// benchRouter returns a router with 100 endpoints in 4 zones.
func benchRouter() (*Router, *mesh.View) {
	r := New(DefaultParams())
	view := &mesh.View{Self: "n000"}
	for i := range 100 {
		view.Members = append(view.Members, mesh.Member{
			Node: mesh.NodeID(fmt.Sprintf("n%03d", i)), Incarnation: 1, Zone: mesh.Zone(fmt.Sprint(i % 4)), Region: "r", State: mesh.NodeAlive,
			Endpoint: mesh.Endpoint{Service: "s", Version: "v", Slots: 6, State: mesh.EndpointReady, Process: "p"},
		})
	}
	r.SetView(view)
	return r, view
}

// BenchmarkPick measures a choice among 100 endpoints in 4 zones with its outcome. Nodes
// have 0.16 of a core.
func BenchmarkPick(b *testing.B) {
	r, _ := benchRouter()
	rnd, now := rand.New(rand.NewPCG(1, 1)), start
	call := &mesh.Call{Service: "s", Route: "x"}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		call.SoftDeadline = now.Add(400 * time.Millisecond)
		t, err := r.Pick(&Query{Call: call}, nil, rnd, now)
		if err != nil {
			b.Fatal(err)
		}
		r.Begin(t, now)
		o := mesh.Outcome{Target: t, Route: "x", Status: 200, Duration: 100 * time.Millisecond, Load: &mesh.Load{InFlight: i % 7, Limit: 6, Slowness: 100 + i%3*50}}
		if i%50 == 0 {
			o.Status, o.Code, o.Shed, o.Load.Queued = 0, result.QueueFull.Number, true, 3
		}
		r.End(o, now)
	}
}

// BenchmarkPickFull measures the choice while the own zone is full, which compares more
// endpoints and those of other zones.
func BenchmarkPickFull(b *testing.B) {
	r, view := benchRouter()
	rnd, now := rand.New(rand.NewPCG(1, 1)), start
	for _, m := range view.Members {
		t := mesh.Target{Node: m.Node, Incarnation: 1}
		r.Begin(t, now)
		r.End(mesh.Outcome{Target: t, Route: "x", Status: 200, Duration: 100 * time.Millisecond, Load: &mesh.Load{InFlight: 6, Queued: 30, Limit: 6}}, now)
	}
	call := &mesh.Call{Service: "s", Route: "x", SoftDeadline: now.Add(400 * time.Millisecond)}
	b.ReportAllocs()
	for range b.N {
		_, _ = r.Pick(&Query{Call: call}, nil, rnd, now)
	}
}
