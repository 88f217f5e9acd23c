package membershipview

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

const (
	// seedsTable holds a row <zone>/<id> for each node, written once per start.
	seedsTable = "nodes"
	// A node reads the table again from time to time: after a long partition
	// the other side's tombstones are gone and only the table knows it.
	rescanEvery = 5 * time.Minute
	// platformTimeout bounds one operation.
	platformTimeout = 5 * time.Second
	maxRetryWait    = 30 * time.Second
)

// seedRow is the value of a row.
type seedRow struct {
	PeerAddress string           `json:"peer_address"`
	Incarnation mesh.Incarnation `json:"incarnation"`
}

// seeds is the duty that looks for other nodes in the settings and on the
// platform. It is a duty of its own so that a slow platform delays nothing.
type seeds struct {
	seedParts
	scanned  bool // since the last wait of rescanEvery
	written  bool
	failures int
}

func newSeeds(p seedParts) *seeds { return &seeds{seedParts: p} }

func (s *seeds) duty() kernel.Duty {
	return kernel.Duty{Name: "seeds", Owns: "the addresses of seeds", Run: s.run}
}

func (s *seeds) run(ctx context.Context) error {
	s.Seeds.Store(&port.Seeds{Addresses: s.configured(), Complete: s.Table == nil})
	if s.Table == nil {
		return nil
	}
	timer := time.NewTimer(s.jitter())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			timer.Reset(s.look(ctx))
		}
	}
}

func (s *seeds) jitter() time.Duration {
	return time.Duration(rand.Float64() * float64(s.Settings.ScanJitter.Duration))
}

func (s *seeds) configured() []string {
	var list []string
	for _, a := range s.Settings.Seeds {
		list = append(list, a.String())
	}
	return list
}

// look writes the node's row, reads the others' and returns the time until the
// next look.
func (s *seeds) look(ctx context.Context) time.Duration {
	var err error
	if !s.scanned {
		err = s.scan(ctx)
	}
	before := s.written
	if err == nil && !s.written {
		err = s.write(ctx)
	}
	if err != nil {
		s.failures++
		s.Logger.Warn().Err(err).Msg("seeds on the platform")
		bound := min(maxRetryWait, time.Second<<min(s.failures, 5))
		return time.Duration(rand.Float64() * float64(bound))
	}
	s.failures = 0
	if !s.written { // the node has not joined yet
		return time.Second
	}
	s.scanned = false
	if !before {
		// Of two nodes that read before either wrote, the later one to write
		// finds the other now.
		return s.jitter()
	}
	return rescanEvery/2 + time.Duration(rand.Float64()*float64(rescanEvery))
}

// scan reads rows from the node's own zone on, and from the start of the table
// when these are few.
func (s *seeds) scan(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	limit := s.Settings.ScanLimit
	rows, err := s.Table.Scan(ctx, seedsTable, "", string(s.Identity.Zone), limit)
	if err != nil {
		return errors.Annotate(err, "read rows of nodes")
	}
	if len(rows) < limit {
		more, err := s.Table.Scan(ctx, seedsTable, "", "", limit-len(rows))
		if err != nil {
			return errors.Annotate(err, "read rows of nodes")
		}
		rows = append(rows, more...)
	}
	s.Seeds.Store(&port.Seeds{Addresses: append(s.configured(), s.addresses(rows)...), Complete: true})
	s.scanned = true
	return nil
}

func (s *seeds) addresses(rows []port.Row) []string {
	var list []string
	for _, row := range rows {
		var r seedRow
		if row.Key == s.key() || json.Unmarshal(row.Value, &r) != nil {
			continue
		}
		if _, err := netip.ParseAddrPort(r.PeerAddress); err == nil {
			list = append(list, r.PeerAddress)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func (s *seeds) key() string { return string(s.Identity.Zone) + "/" + string(s.Identity.Node) }

// write stores the node's row once it has joined.
func (s *seeds) write(ctx context.Context) error {
	view := s.View.Load()
	if view == nil {
		return nil
	}
	own := view.Member(s.Identity.Node)
	if own == nil || own.PeerAddress == "" {
		return nil
	}
	value, err := json.Marshal(seedRow{PeerAddress: own.PeerAddress, Incarnation: own.Incarnation})
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	err = s.Table.Commit(ctx, port.Txn{Puts: []port.Put{{Table: seedsTable, Key: s.key(), Value: value}}})
	if err != nil {
		return errors.Annotate(err, "write the row of this node")
	}
	s.written = true
	return nil
}
