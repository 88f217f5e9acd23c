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
	// seedsTable has a row <zone>/<id> for each node, written once per start.
	seedsTable = "nodes"
	// rescanInterval is the mean time between reads of the table. After a long
	// partition the tombstones of the other side have expired, and only the table
	// still has its addresses.
	rescanInterval = 5 * time.Minute
	// platformTimeout bounds one platform operation.
	platformTimeout = 5 * time.Second
	maxRetryWait    = 30 * time.Second
)

// seedRow is the value of a row in seedsTable.
type seedRow struct {
	PeerAddress string           `json:"peer_address"`
	Incarnation mesh.Incarnation `json:"incarnation"`
}

// seeds is the duty that reads the addresses of other nodes from the settings and
// the platform. It is a separate duty so that a slow platform does not delay the
// members duty.
type seeds struct {
	seedsDependencies
	scanned  bool // the table was read since the last complete refresh
	written  bool
	failures int
}

func newSeeds(p seedsDependencies) *seeds { return &seeds{seedsDependencies: p} }

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
			timer.Reset(s.refresh(ctx))
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

// refresh writes the node's row, reads the others' and returns the time until the
// next refresh.
func (s *seeds) refresh(ctx context.Context) time.Duration {
	var err error
	if !s.scanned {
		err = s.scan(ctx)
	}
	wasWritten := s.written
	if err == nil && !s.written {
		err = s.write(ctx)
	}
	if err != nil {
		s.failures++
		s.Logger.Warn().Err(err).Msg("seed table not read or written")
		bound := min(maxRetryWait, time.Second<<min(s.failures, 5))
		return time.Duration(rand.Float64() * float64(bound))
	}
	s.failures = 0
	if !s.written { // the node has not joined yet
		return time.Second
	}
	s.scanned = false
	if !wasWritten {
		// Of two nodes that both read before they wrote, the one that wrote later
		// finds the other's row now.
		return s.jitter()
	}
	return rescanInterval/2 + time.Duration(rand.Float64()*float64(rescanInterval))
}

// scan reads rows from the node's own zone on, and from the start of the table if
// these are fewer than scan_limit.
func (s *seeds) scan(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	limit := s.Settings.ScanLimit
	rows, err := s.Table.Scan(ctx, seedsTable, "", string(s.Identity.Zone), limit)
	if err != nil {
		return errors.Annotate(err, "read rows of nodes")
	}
	if len(rows) < limit {
		fromStart, err := s.Table.Scan(ctx, seedsTable, "", "", limit-len(rows))
		if err != nil {
			return errors.Annotate(err, "read rows of nodes")
		}
		rows = append(rows, fromStart...)
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

// write stores the node's row if the node has joined.
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
