// Package membershiprows is the plug-in "membership.rows": the view of all
// nodes, decoded from the row that each node writes about itself.
package membershiprows

import (
	"context"
	"sort"
	"strings"

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

// wake is the ring that wakes the members duty after a change of the rows.
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

// duty keeps the view of all nodes.
type duty struct {
	dutyIn
	self    mesh.Member
	decoded map[string]entry
}

// entry is a decoded row. The member of an invalid row is nil.
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

// publish stores the view. The node's own entry comes from members.self, not from
// its row, which may be older.
func (d *duty) publish() {
	if d.self.Node == "" {
		return
	}
	rows := d.Rows.Load()
	view := &mesh.View{Self: d.self.Node, Members: []mesh.Member{d.self}, Revision: rows.Seen()[port.NodeTable]}
	var newEntries []entry
	rows.Each(port.NodeTable, func(r replica.Row) {
		e, isNew := d.decode(&r)
		if e.member == nil {
			return
		}
		if e.member.Node != d.self.Node {
			view.Members = append(view.Members, *e.member)
		}
		if isNew {
			newEntries = append(newEntries, e)
		}
	})
	d.log(newEntries, view.Revision)
	sort.Slice(view.Members, func(i, j int) bool { return view.Members[i].Node < view.Members[j].Node })
	d.View.Store(view)
}

// decode returns a decoded row, cached by revision, and whether this revision is new.
func (d *duty) decode(r *replica.Row) (e entry, isNew bool) {
	if e, cached := d.decoded[r.Key]; cached && e.revision == r.Revision {
		return e, false
	}
	e = entry{revision: r.Revision}
	if name, ok := strings.CutPrefix(r.Key, port.NodeRowPrefix); ok && name != "" {
		var m mesh.Member
		if err := port.DecodeRow(r.Value, &m); err != nil || string(m.Node) != name {
			d.Logger.Warn().Str("key", r.Key).Err(err).Msg("row of a node can't be read")
		} else {
			e.member = &m
		}
	}
	d.decoded[r.Key] = e
	return e, true
}

// log writes one line for each member, or a single line for more than
// maxNodeLines: when n nodes start together, single lines would add up to n².
func (d *duty) log(newEntries []entry, revision uint64) {
	if len(newEntries) > maxNodeLines {
		d.Logger.Info().Int("nodes", len(newEntries)).Uint64("revision", revision).Msg("nodes known")
		return
	}
	for _, e := range newEntries {
		m := e.member
		d.Logger.Info().Str("node", string(m.Node)).Str("instance", m.Endpoint.Instance).
			Str("version", string(m.Endpoint.Version)).Uint64("revision", e.revision).Msg("node known")
	}
}

// maxNodeLines is the largest number of new nodes that are logged one by one.
const maxNodeLines = 8
