// Command upstream stands in for a users' back-end process: it announces
// itself to the node beside it, serves calls with faults set at run time, and
// journals each call that it began and ended.
package main

import (
	"context"
	"crypto/rand"
	"flag"
	"net/http"
	"os"

	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/test/standin"
)

var (
	listen      = flag.String("listen", "127.0.0.1:0", "IP:port to listen on")
	addressFile = flag.String("address-file", "", "file to write the address listened on to")
	journalPath = flag.String("journal", "", "file of JSON lines, one for each call begun, ended or shed")
	announceURL = flag.String("announce", "", "URL of the node's announcement listener; none: no announcements")
	service     = flag.String("service", "demo", "service to announce")
	version     = flag.String("version", "v1", "upstream version to announce")
	slots       = flag.Int("slots", 6, "slots to announce")
	seed        = flag.Uint64("seed", 1, "seed of the choice of failing calls")
	start       options
)

// process differs for each start.
var process = rand.Text()[:12]

func init() {
	flag.StringVar(&start.State, "state", "ready", "state to announce: starting, ready or draining")
	flag.IntVar(&start.ServiceMS, "service-ms", 0, "duration of a call in milliseconds")
	flag.Float64Var(&start.SlowFactor, "slow-factor", 1, "factor on the duration of calls")
	flag.Float64Var(&start.ErrorRate, "error-rate", 0, "share of calls answered with 500, 0 to 1")
	flag.StringVar(&start.FaultPath, "fault-path", "", "path prefix that errors and slowness are limited to")
	flag.IntVar(&start.ColdCalls, "cold-calls", 0, "calls that run cold-ms longer after the start")
	flag.IntVar(&start.ColdMS, "cold-ms", 0, "added duration of a cold call in milliseconds")
	flag.IntVar(&start.ShedAbove, "shed-above", 0, "calls in flight above which calls are shed, 0 for none")
	flag.StringVar(&start.Health, "health", "", "answer of /health: ok or bad; empty: the truth")
	flag.IntVar(&start.Load, "load", -1, "answer of /load; -1: the truth")
	kernel.Register(kernel.Plugin{
		Name: "standin.upstream",
		Doc:  "Announces itself to a node and serves calls with faults.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Options(
				fx.Provide(
					newBehaviour, newAnnouncer, newHandler, standin.Serve,
					func() *standin.Journal { return standin.NewJournal(*journalPath) },
					func() (standin.Listener, error) { return standin.Listen(*listen, *addressFile) },
				),
				kernel.ProvideDuty((*behaviour).Duty),
				kernel.ProvideDuty((*announcer).duty),
				kernel.ProvideDuty((*standin.Journal).Duty),
				fx.Invoke(drainAtStop),
			)
		},
	})
}

// drainAtStop announces draining at the first signal and lets calls end.
func drainAtStop(lc fx.Lifecycle, server *http.Server, b *behaviour, a *announcer) {
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		standin.Query(ctx, b, func(s *state) bool { s.options.State = "draining"; return true })
		a.announceNow(ctx)
		return server.Shutdown(ctx)
	}})
}

func main() {
	flag.Parse()
	os.Exit(kernel.Run(kernel.Options(kernel.Defaults(), kernel.NewLogger(os.Stderr))))
}
