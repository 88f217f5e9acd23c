package operator

import (
	"context"
	"time"

	"teaselring/mesh"
)

// pollInterval is the time between polls while waiting for a state.
const pollInterval = time.Second

// Convergence counts the alive nodes that applied or refused a version.
type Convergence struct {
	Nodes   int `json:"nodes"`
	Active  int `json:"active"`  // applied the version or a newer one
	Refused int `json:"refused"` // refused it
}

// Complete reports whether every alive node has applied or refused the version.
func (n Convergence) Complete() bool { return n.Nodes > 0 && n.Active+n.Refused == n.Nodes }

// ConvergenceOf counts the alive nodes of a status.
func ConvergenceOf(status StatusResponse, version mesh.Version) Convergence {
	var n Convergence
	for _, node := range status.Nodes {
		if node.State != "alive" {
			continue
		}
		n.Nodes++
		switch {
		case node.InForce >= version:
			n.Active++
		case node.Refused >= version:
			n.Refused++
		}
	}
	return n
}

// WaitConverged polls the status until every alive node has applied or refused a
// version.
func (c *Client) WaitConverged(ctx context.Context, version mesh.Version) (Convergence, error) {
	var last Convergence
	for {
		status, err := runAttempt(ctx, false, func(ctx context.Context, _ bool) (StatusResponse, error) { return c.Status(ctx) })
		switch {
		case err != nil && !transient(err):
			return last, err
		case err != nil:
			c.progress("status: %v; trying again", err)
		default:
			last = ConvergenceOf(status, version)
			c.progress("version %d: active on %d of %d nodes, refused by %d", version, last.Active, last.Nodes, last.Refused)
		}
		if last.Complete() {
			return last, nil
		}
		if !sleep(ctx, pollInterval) {
			return last, context.Cause(ctx)
		}
	}
}
