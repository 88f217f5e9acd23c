// Package membershiprows is the plug-in "membership.rows": the view of all
// nodes, decoded from the row that each node writes about itself.
package membershiprows

import (
	"context"
	"sort"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/decision/replica"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

const (
	wakeRing = "members.rows"
	selfRing = "members.self"
)

// wake is the ring of this plug-in's duty.
type wake struct {
	ring *kernel.Ring[port.RowsChanged]
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "membership.rows",
		Doc:  "Keeps the view of all nodes from their rows.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Options(
				fx.Provide(
					func() *port.ViewCell { return new(port.ViewCell) },
				),
				kernel.ProvideRing[mesh.Member](selfRing, 4, kernel.ReplaceOldest),
				port.ProvideRowsSubscriber(wakeRing, func(r *kernel.Ring[port.RowsChanged]) wake { return wake{r} }),
				kernel.ProvideDuty(newDuty),
			)
		},
	})
}

type dutyIn struct {
	fx.In
	Wake   wake
	Self   *port.SelfRing
	Rows   *port.RowsCell
	View   *port.ViewCell
	Logger *log.Logger
}

// duty owns the view.
type duty struct {
	dutyIn
	self    mesh.Member
	decoded map[string]entry
}

// entry is a decoded row; member is nil for one that can't be read.
type entry struct {
	revision uint64
	member   *mesh.Member
}

func newDuty(in dutyIn) kernel.Duty {
	d := &duty{dutyIn: in, decoded: map[string]entry{}}
	return kernel.Duty{
		Name: "members", Owns: "the view of all nodes", In: []string{wakeRing, selfRing}, Run: d.run,
	}
}

func (d *duty) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.Wake.ring.C():
		case d.self = <-d.Self.C():
		}
		d.publish()
	}
}

// publish stores the view. The node's own entry is what it knows of itself, not
// what its row says.
func (d *duty) publish() {
	if d.self.Node == "" {
		return
	}
	rows := d.Rows.Load()
	view := &mesh.View{Self: d.self.Node, Members: []mesh.Member{d.self}, Revision: rows.Seen()[port.NodeTable]}
	var learned []entry
	rows.Each(port.NodeTable, func(r replica.Row) {
		e, isNew := d.decode(&r)
		if e.member == nil {
			return
		}
		if e.member.Node != d.self.Node {
			view.Members = append(view.Members, *e.member)
		}
		if isNew {
			learned = append(learned, e)
		}
	})
	d.log(learned, view.Revision)
	sort.Slice(view.Members, func(i, j int) bool { return view.Members[i].Node < view.Members[j].Node })
	d.View.Store(view)
}

// decode returns a decoded row and whether this revision of it is looked at for the
// first time.
func (d *duty) decode(r *replica.Row) (e entry, isNew bool) {
	if e, known := d.decoded[r.Key]; known && e.revision == r.Revision {
		return e, false
	}
	e = entry{revision: r.Revision}
	if name, ok := strings.CutPrefix(r.Key, port.NodeRowPrefix); ok && name != "" {
		var m mesh.Member
		if err := cbor.Unmarshal(r.Value, &m); err != nil || string(m.Node) != name || m.PeerAddress == "" {
			d.Logger.Warn().Str("key", r.Key).Err(err).Msg("row of a node can't be read")
		} else {
			e.member = &m
		}
	}
	d.decoded[r.Key] = e
	return e, true
}

// log writes a line for each member, or one for many: a node that starts learns of all
// others at once, and when all start together their lines would be the square of that.
func (d *duty) log(learned []entry, revision uint64) {
	if len(learned) > mostLines {
		d.Logger.Info().Int("nodes", len(learned)).Uint64("revision", revision).Msg("nodes known")
		return
	}
	for _, e := range learned {
		m := e.member
		d.Logger.Info().Str("node", string(m.Node)).Str("instance", m.Endpoint.Instance).
			Str("version", string(m.Endpoint.Version)).Uint64("revision", e.revision).Msg("node known")
	}
}

// mostLines bounds the lines about nodes that become known at once.
const mostLines = 8
