// Package edgeoutbound is the plug-in "edge.outbound": the HTTP/1.1 listener for
// the clients and the server of the machine. net/http parses requests and writes
// responses; the edge manages the connection itself, because it must record when
// each of several pipelined requests arrived, respond in order, and detect that a
// client disconnects while its requests wait.
package edgeoutbound

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/decision/budget"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

const (
	// Limits that apply unless the configuration sets them.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second

	// serveAfterStop is the time after the stop signal during which new requests are
	// served: the platform probes readiness once a second and removes a machine after
	// two probes that it is not ready.
	serveAfterStop = 2300 * time.Millisecond
	// acceptAfterStop is the time after the stop signal during which connections are
	// accepted.
	acceptAfterStop = 3 * time.Second
	// quietPeriod is the time without a request after which a stopping node starts no
	// further request.
	quietPeriod = 100 * time.Millisecond
	// cutoffFraction is the fraction of the grace period after which calls in progress
	// are cut off. The platform excuses calls still in progress in the last sixth of
	// the period, and a slow machine needs time to end the process.
	cutoffFraction    = 0.85
	drainPollInterval = 50 * time.Millisecond

	// minAcceptBackoff and maxAcceptBackoff bound the wait after a failure to accept.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

type edgeIn struct {
	fx.In
	PlatformSettings *port.PlatformSettings
	Path             port.CallPath
	Calls            port.CallsInProgress
	Budget           *port.Budget
	Snapshot         *port.SnapshotCell
	Grace            *kernel.Grace
	Guard            *kernel.Guard
	Logger           *log.Logger
	Metrics          metrics.Registry
}

type edge struct {
	edgeIn
	socket net.Listener
	// inProgress counts the requests of this machine from their first byte until their
	// response is written.
	inProgress atomic.Int64
	// closed is set when no further request is started.
	closed atomic.Bool

	connections, requests, acceptErrors metrics.Counter
	latency                             metrics.Histogram
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "edge.outbound",
		Doc:  "Accepts requests of the clients and the server of the machine over HTTP/1.1.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Invoke(func(lc fx.Lifecycle, in edgeIn) {
				e := &edge{
					edgeIn:       in,
					connections:  metrics.NewRegisteredCounter("outbound.connections", in.Metrics),
					requests:     metrics.NewRegisteredCounter("outbound.requests", in.Metrics),
					acceptErrors: metrics.NewRegisteredCounter("outbound.accept_errors", in.Metrics),
					latency:      metrics.NewRegisteredHistogram("outbound.latency_ms", in.Metrics, metrics.NewExpDecaySample(1028, 0.015)),
				}
				lc.Append(fx.StartHook(e.start))
				in.Grace.OnDrain(e.drain)
			})
		},
	})
}

func (e *edge) start() error {
	socket, err := net.Listen("tcp", e.PlatformSettings.Outbound.String())
	if err != nil {
		return err
	}
	e.socket = socket
	e.Logger.Info().Str("edge", "outbound").Str("address", e.PlatformSettings.Outbound.String()).Msg("listening")
	go e.accept(socket)
	return nil
}

func (e *edge) accept(socket net.Listener) {
	for failures := 0; ; {
		conn, err := socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as no free file descriptor
			e.acceptErrors.Inc(1)
			if failures == 0 {
				e.Logger.Error().Err(err).Msg("connection not accepted")
			}
			_ = kernel.Sleep(context.Background(), kernel.Backoff(failures, minAcceptBackoff, maxAcceptBackoff))
			failures++
			continue
		}
		failures = 0
		reservation, ok := e.Budget.Door(budget.Outbound).Connect(conn)
		if !ok {
			_ = conn.Close()
			continue
		}
		e.connections.Inc(1)
		go newClientConn(e, &port.BudgetConn{Conn: conn, Reservation: reservation}).run()
	}
}

// drain keeps serving until clients have been redirected and the calls in progress,
// including those of other nodes, have ended.
func (e *edge) drain(ctx context.Context) {
	if e.socket == nil {
		return // the address could not be bound
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	cutoff := time.Duration(cutoffFraction * float64(e.PlatformSettings.Grace))
	lastBusy := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if e.busy() {
			lastBusy = time.Now()
		}
		stoppingFor := e.Grace.StoppingFor()
		if stoppingFor >= acceptAfterStop {
			_ = e.socket.Close()
		}
		if stoppingFor >= serveAfterStop && time.Since(lastBusy) >= quietPeriod {
			e.closed.Store(true)
		}
		// A request may have arrived between the check above and closed being set, so
		// busy is checked again.
		if stoppingFor >= cutoff || (e.closed.Load() && !e.busy()) {
			_ = e.socket.Close()
			e.Logger.Info().Dur("after", stoppingFor).Int64("calls", e.Calls()+e.inProgress.Load()).Msg("stopped serving")
			return
		}
	}
}

// busy reports whether a request that reached this node is still unanswered.
func (e *edge) busy() bool { return e.Calls() > 0 || e.inProgress.Load() > 0 }

// limits returns the limits of the configuration in force, or else the defaults.
func (e *edge) limits() mesh.EdgeLimits {
	effective := mesh.EdgeLimits{
		HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
	snapshot := e.Snapshot.Load()
	if snapshot == nil {
		return effective
	}
	if snapshot.Limits.HeaderBytes > 0 {
		effective.HeaderBytes = snapshot.Limits.HeaderBytes
	}
	if snapshot.Limits.BodyBytes > 0 {
		effective.BodyBytes = snapshot.Limits.BodyBytes
	}
	if snapshot.Limits.HeaderTimeout > 0 {
		effective.HeaderTimeout = snapshot.Limits.HeaderTimeout
	}
	if snapshot.Limits.IdleTimeout > 0 {
		effective.IdleTimeout = snapshot.Limits.IdleTimeout
	}
	return effective
}
