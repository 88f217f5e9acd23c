package routing

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

// A refusal said only that no upstream was usable, and its cause had to be guessed.
var _ = Describe("a refusal", func() {
	It("counts the owner nodes passed over by reason, with the age of what was known", func() {
		draining, dead := member("e a1 v1"), member("f a1 v1")
		draining.Endpoint.State, dead.State = mesh.EndpointDraining, mesh.NodeDead
		f := routerWith(member("a a1 v1"), member("b a1 v2"), member("c a2 v1"), member("d a1 v1"), draining, dead, member("g a3 v1"))
		t := f.endpointTarget("d")
		f.Begin(t, start)
		f.End(outcome(t, result.ConnectFailed, nil), start)
		full := f.endpointTarget("g")
		f.Begin(full, start)
		f.End(outcome(full, result.QueueFull, &mesh.Load{InFlight: 6, Queued: 3, Limit: 6}), start)
		f.currentVersion("v1")
		now := start.Add(30 * time.Millisecond)
		_, err := f.Pick(&Query{
			Call:  &mesh.Call{Service: "stock", SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Second)},
			Tried: []mesh.NodeID{"a"}, Evacuated: []mesh.Zone{"a2"},
		}, nil, f.rnd, now)
		var refusal *Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Passed).To(Equal(Passed{Leaving: 2, Evacuated: 1, OtherVersion: 1, Tried: 1, Avoided: 1, Full: 1, KnownAge: 30 * time.Millisecond}))
		Expect(refusal.Passed.String()).To(Equal("leaving 2, evacuated 1, other_version 1, tried 1, avoided 1, full 1, load reported 30 ms ago"))
	})
})

func (f *fixture) currentVersion(v mesh.UpstreamVersion) { f.byService["stock"].currentVersion = v }
