// Package callrouter provides the plug-in call.router, which chooses an
// endpoint for each attempt of a call.
package callrouter

import (
	"time"

	"go.uber.org/fx"

	"teaselring/decision/limit"
	"teaselring/decision/retry"
	"teaselring/decision/routing"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

// Settings of the plug-in.
type Settings struct {
	Capacity      int             `toml:"capacity" comment:"number of calls in flight that the entry node accepts"`
	CallerDefault int             `toml:"caller_default" comment:"upper limit of the calls in flight of a caller without a record"`
	MaxAttempts   int             `toml:"max_attempts" comment:"upper limit of the attempts of one call, with the first"`
	RetryBurst    int             `toml:"retry_burst" comment:"number of retries that a caller has before its calls earn any"`
	PenaltyMax    kernel.Duration `toml:"penalty_max" comment:"longest time for which an endpoint that does not answer is avoided"`
	ZoneCost      kernel.Duration `toml:"zone_cost_per_kib" comment:"time that a call must gain for each KiB of its body before it leaves its zone"`
}

// Validate checks the ranges of all values.
func (s *Settings) Validate() error {
	for _, err := range []error{
		kernel.InRange("capacity", s.Capacity, 1, 100_000),
		kernel.InRange("caller_default", s.CallerDefault, 1, 10_000),
		kernel.InRange("max_attempts", s.MaxAttempts, 1, 10),
		kernel.InRange("retry_burst", s.RetryBurst, 0, 100),
		kernel.SpanInRange("penalty_max", s.PenaltyMax, 100*time.Millisecond, time.Minute),
		kernel.SpanInRange("zone_cost_per_kib", s.ZoneCost, 0, time.Second),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

func defaults() kernel.Validator {
	return &Settings{
		Capacity: 4096, CallerDefault: 512,
		MaxAttempts: retry.DefaultPolicy().MaxAttempts,
		RetryBurst:  int(retry.DefaultBudgetParams().Burst),
		PenaltyMax:  kernel.Span(routing.DefaultParams().PenaltyMax),
		ZoneCost:    kernel.Span(routing.DefaultParams().ZoneCostPerKiB),
	}
}

func (s *Settings) routing() routing.Params {
	p := routing.DefaultParams()
	p.PenaltyMax, p.ZoneCostPerKiB = s.PenaltyMax.Duration, s.ZoneCost.Duration
	return p
}

func (s *Settings) policy() retry.Policy {
	p := retry.DefaultPolicy()
	p.MaxAttempts = s.MaxAttempts
	return p
}

func (s *Settings) budgets() retry.BudgetParams {
	p := retry.DefaultBudgetParams()
	p.Burst = float64(s.RetryBurst)
	return p
}

func (s *Settings) callers() limit.CallerParams {
	return limit.CallerParams{Capacity: s.Capacity, DefaultLimit: s.CallerDefault}
}

const (
	pickRing    = "router.picks"
	outcomeRing = "router.outcomes"
	retryRing   = "router.retries"
	sampleRing  = "guard.samples"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:     "call.router",
		Doc:      "Chooses an endpoint for each attempt of a call and limits callers and retries.",
		Settings: defaults,
		Module: func(settings kernel.Validator) fx.Option {
			return fx.Options(
				fx.Supply(settings.(*Settings)),
				kernel.ProvideRing[kernel.Request[port.Pick, mesh.Target]](pickRing, 1024, kernel.WaitUntilDeadline),
				kernel.ProvideRing[port.OutcomeReport](outcomeRing, 1024, kernel.WaitUntilDeadline),
				kernel.ProvideRing[kernel.Request[port.RetryRequest, port.RetryDecision]](retryRing, 256, kernel.Refuse),
				kernel.ProvideDuty(newDuty),
			)
		},
	})
}
