package mesh

import (
	"net/netip"
	"time"

	"teaselring/result"
)

// Limits on what another process may claim. Values beyond them come from a faulty
// writer: the claim of 2^62 slots would attract all calls.
const (
	// MaxNameBytes bounds ids, names and addresses.
	MaxNameBytes = 200
	// MaxSlots bounds the slots of one upstream.
	MaxSlots = 4096
	// MaxMoveDuration bounds the duration of a move.
	MaxMoveDuration = 366 * 24 * time.Hour
)

// CheckNames returns an error if one of the names is longer than MaxNameBytes.
func CheckNames(names ...string) error {
	for _, name := range names {
		if len(name) > MaxNameBytes {
			return result.BadMessage.Errorf("a name has %d bytes; allowed are %d", len(name), MaxNameBytes)
		}
	}
	return nil
}

// CheckSlots returns an error unless an upstream may have the number of slots.
func CheckSlots(slots int) error {
	if slots < 1 || slots > MaxSlots {
		return result.BadMessage.Errorf("%d slots; allowed are 1 to %d", slots, MaxSlots)
	}
	return nil
}

// Check returns an error if the member can't be a node's own description.
func (m *Member) Check() error {
	address, err := netip.ParseAddrPort(m.PeerAddress)
	switch {
	case m.Node == "":
		return result.BadMessage.Errorf("the node has no id")
	case err != nil:
		return result.BadMessage.Errorf("address: %v", err)
	case address.Port() == 0:
		return result.BadMessage.Errorf("the address %s has no port", address)
	case m.State > NodeLeft:
		return result.BadMessage.Errorf("unknown node state %d", m.State)
	}
	if err := CheckNames(string(m.Node), string(m.Zone), string(m.Region)); err != nil {
		return err
	}
	return m.Endpoint.check()
}

func (e *Endpoint) check() error {
	if e.State == EndpointNone {
		return nil
	}
	if e.State > EndpointGone {
		return result.BadMessage.Errorf("unknown upstream state %d", e.State)
	}
	if e.Service == "" {
		return result.BadMessage.Errorf("the upstream has no service")
	}
	if err := CheckNames(string(e.Service), string(e.Version), e.Instance); err != nil {
		return err
	}
	return CheckSlots(e.Slots)
}

// Check returns an error if the report can't be of a crash.
func (c *Crash) Check() error {
	switch {
	case c.Service == "" || c.Node == "" || c.Process == "":
		return result.BadMessage.Errorf("the crash report names no service, node or process")
	case len(c.Fingerprints) > MaxSlots:
		return result.BadMessage.Errorf("%d calls in flight at a crash; allowed are %d", len(c.Fingerprints), MaxSlots)
	case c.Age < 0:
		return result.BadMessage.Errorf("a crash report of age %v", c.Age)
	}
	return CheckNames(string(c.Service), string(c.Node), c.Process)
}

// Check returns an error if the row can't be the state of a move.
func (r *Rollout) Check() error {
	switch r.Phase {
	case MoveShifting, MoveDone, MoveTakenBack:
	default:
		return result.BadMessage.Errorf("unknown phase %.40q of a move", r.Phase)
	}
	if r.Duration <= 0 || r.Duration > MaxMoveDuration || r.Started < 0 {
		return result.BadMessage.Errorf("a move of %v that began at %v", r.Duration, r.Started)
	}
	return CheckNames(string(r.Service), string(r.Old), string(r.New))
}
