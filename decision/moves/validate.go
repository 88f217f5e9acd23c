package moves

import (
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Validate checks a move that an operator declares. existing holds the rows of
// all moves, view the members with the versions that they announced.
//
// Errors: result.MoveInvalid, result.MoveUnknownVersion, result.MovePastTarget,
// result.MoveInProgress.
func Validate(m *mesh.Move, existing []mesh.Move, view *mesh.View, now time.Time) error {
	if err := validateFields(m); err != nil {
		return err
	}
	for _, version := range []mesh.UpstreamVersion{m.Old, m.New} {
		if !announced(view, m.Service, version) {
			return result.MoveUnknownVersion.Errorf("no upstream of service %q has announced version %q",
				m.Service, version).With("version", string(version))
		}
	}
	if left := m.Target.Sub(now); left < MinDuration {
		return result.MovePastTarget.Errorf("the target time is %s from now; a move needs at least %s",
			left.Round(time.Second), MinDuration).With("target", m.Target.Format(time.RFC3339))
	}
	for i := range existing {
		k := &existing[i]
		if k.ID == m.ID {
			return result.MoveInvalid.Errorf("a move with the id %q exists", m.ID).With("field", "id")
		}
		if k.Service == m.Service && !k.Phase.Ended() {
			return result.MoveInProgress.Errorf("move %q of service %q is %s",
				k.ID, k.Service, k.Phase).With("move", string(k.ID))
		}
	}
	return nil
}

func validateFields(m *mesh.Move) error {
	for _, f := range []struct{ name, value string }{
		{"id", string(m.ID)},
		{"service", string(m.Service)},
		{"old", string(m.Old)},
		{"new", string(m.New)},
	} {
		if f.value == "" {
			return result.MoveInvalid.Errorf("%s is empty", f.name).With("field", f.name)
		}
	}
	if m.Old == m.New {
		return result.MoveInvalid.Errorf("old and new are both %q", m.New).With("field", "new")
	}
	return nil
}

func announced(view *mesh.View, service mesh.ServiceID, version mesh.UpstreamVersion) bool {
	for i := range view.Members {
		m := &view.Members[i]
		if m.State == mesh.NodeAlive && m.Endpoint.State != mesh.EndpointGone &&
			m.Endpoint.Service == service && m.Endpoint.Version == version {
			return true
		}
	}
	return false
}

// Declare returns the first row of a validated move.
func Declare(m *mesh.Move, now time.Time) mesh.Move {
	return mesh.Move{
		ID: m.ID, Service: m.Service, Old: m.Old, New: m.New, Routes: m.Routes,
		Declared: now, Target: m.Target, By: m.By,
		Phase: mesh.MoveDeclared, Step: 1, Reason: "declared",
	}
}
