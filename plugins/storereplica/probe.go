package storereplica

import (
	"context"

	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
)

// probed is the result of a probe.
type probed struct {
	member *mesh.Member
	newer  *rowsResponse
	err    error
}

type (
	probeRing  = kernel.Ring[*mesh.Member]
	probedRing = kernel.Ring[probed]
)

type probeIn struct {
	fx.In
	Probes *probeRing
	Probed *probedRing
	Client *rowsClient
}

// newProbe returns the duty that asks whether a node can be the source of the rows, while
// the present source stays in use. The response is immediate and shows whether the node
// is connected to the store.
func newProbe(in probeIn) kernel.Duty {
	run := func(ctx context.Context) error {
		return in.Probes.Each(ctx, func(m *mesh.Member) {
			newer, err := in.Client.fetchFrom(ctx, m, 0)
			_ = in.Probed.Send(ctx, probed{member: m, newer: newer, err: err}) // one probe at a time, so the ring has room
		})
	}
	return kernel.Duty{
		Name: "peer-probe", Owns: "nothing; it waits for one node's response", In: []string{probeRingName}, Out: []string{probedRingName}, Run: run,
	}
}
