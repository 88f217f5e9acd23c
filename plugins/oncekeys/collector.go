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
	claimAsk      = kernel.Request[port.Claim, port.Claimed]
	settlementAsk = kernel.Request[port.Settlement, struct{}]
)

// work is one batch on its way to the platform.
type work struct {
	claims      []claimAsk
	settlements []settlementAsk
}

// collector is the duty that owns the batches being filled.
type collector struct {
	claims      *once.Batch[claimAsk]
	settlements *once.Batch[settlementAsk]
	out         *kernel.Ring[work]
}

func newCollector(s *Settings) func(*port.ClaimRing, *port.SettlementRing, *kernel.Ring[work]) kernel.Duty {
	return func(claims *port.ClaimRing, settlements *port.SettlementRing, out *kernel.Ring[work]) kernel.Duty {
		c := &collector{
			claims:      once.NewBatch[claimAsk](s.BatchSize, s.BatchWindow.Duration),
			settlements: once.NewBatch[settlementAsk](s.BatchSize, s.BatchWindow.Duration),
			out:         out,
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
		case ask := <-claims.C():
			full = c.claims.Add(ask, time.Now())
		case ask := <-settlements.C():
			full = c.settlements.Add(ask, time.Now())
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

// flush hands over what is due. The writer takes claims first in each batch.
func (c *collector) flush(ctx context.Context, full bool) {
	due, ok := c.due()
	if !ok || (!full && time.Now().Before(due)) {
		return
	}
	w := work{claims: c.claims.Take(), settlements: c.settlements.Take()}
	if err := c.out.Send(ctx, w); err != nil {
		w.fail(result.KeyStoreDown.Errorf("earlier claims still wait for the platform"))
	}
}

func (c *collector) due() (time.Time, bool) {
	a, someClaims := c.claims.Due()
	b, someSettlements := c.settlements.Due()
	switch {
	case someClaims && (!someSettlements || a.Before(b)):
		return a, true
	default:
		return b, someSettlements
	}
}

func (w work) fail(err error) {
	for _, ask := range w.claims {
		ask.Fail(err)
	}
	for _, ask := range w.settlements {
		ask.Fail(err)
	}
}
