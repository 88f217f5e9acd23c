package oncekeys

import (
	"context"
	"time"

	"teaselring/decision/once"
	"teaselring/kernel"
	"teaselring/port"
	"teaselring/result"
)

type (
	claimRequest      = kernel.Request[port.Claim, port.Claimed]
	settlementRequest = kernel.Request[port.Settlement, struct{}]
)

// pendingBatch is a batch to be written to the platform.
type pendingBatch struct {
	claims      []claimRequest
	settlements []settlementRequest
}

// collector is the duty that owns the batches being filled.
type collector struct {
	claims      *once.Batch[claimRequest]
	settlements *once.Batch[settlementRequest]
	batches     *kernel.Ring[pendingBatch]
}

func newCollector(s *Settings) func(*port.ClaimRing, *port.SettlementRing, *kernel.Ring[pendingBatch]) kernel.Duty {
	return func(claims *port.ClaimRing, settlements *port.SettlementRing, batches *kernel.Ring[pendingBatch]) kernel.Duty {
		c := &collector{
			claims:      once.NewBatch[claimRequest](s.BatchSize, s.BatchWindow.Duration),
			settlements: once.NewBatch[settlementRequest](s.BatchSize, s.BatchWindow.Duration),
			batches:     batches,
		}
		return kernel.Duty{
			Name: "claims", Owns: "batches of claims being filled",
			In: []string{"once.claims", "once.settlements"}, Out: []string{"once.batches"},
			Run: func(ctx context.Context) error { return c.run(ctx, claims, settlements) },
		}
	}
}

func (c *collector) run(ctx context.Context, claims *port.ClaimRing, settlements *port.SettlementRing) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		full := false
		select {
		case request := <-claims.C():
			full = c.claims.Add(request, time.Now())
		case request := <-settlements.C():
			full = c.settlements.Add(request, time.Now())
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		c.flush(ctx, full)
		if due, ok := c.due(); ok {
			timer.Reset(time.Until(due))
		}
	}
}

// flush sends the batch to the writer when it is full or due. The writer writes a
// batch's claims before its settlements.
func (c *collector) flush(ctx context.Context, full bool) {
	due, ok := c.due()
	if !ok || (!full && time.Now().Before(due)) {
		return
	}
	batch := pendingBatch{claims: c.claims.Take(), settlements: c.settlements.Take()}
	if err := c.batches.Send(ctx, batch); err != nil {
		batch.fail(result.KeyStoreDown.Errorf("earlier claims are still being written to the platform"))
	}
}

func (c *collector) due() (time.Time, bool) {
	claimsDue, hasClaims := c.claims.Due()
	settlementsDue, hasSettlements := c.settlements.Due()
	switch {
	case hasClaims && (!hasSettlements || claimsDue.Before(settlementsDue)):
		return claimsDue, true
	default:
		return settlementsDue, hasSettlements
	}
}

func (w pendingBatch) fail(err error) {
	for _, request := range w.claims {
		request.Fail(err)
	}
	for _, request := range w.settlements {
		request.Fail(err)
	}
}
