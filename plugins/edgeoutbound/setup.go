// Package edgeoutbound is the plug-in "edge.outbound": the HTTP/1.1 listener for
// the clients and the server of the machine. net/http parses requests and writes
// answers; the edge runs the connection itself, because it must know when each
// of several requests on a connection arrived, answer them in order, and notice
// that a client has left while requests of it wait.
package edgeoutbound

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"golang.org/x/net/netutil"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

const (
	// maxConnections leaves half of the descriptors of the smallest machine (4,100)
	// to connections to nodes and servers.
	maxConnections = 2000

	// Limits used before a configuration states them.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second

	// stayAfterStop is the time after the signal to stop in which new requests are
	// served: the platform asks once a second and takes a machine out after two
	// answers that it is not ready.
	stayAfterStop = 2300 * time.Millisecond
	// acceptAfterStop is the time after the signal in which connections are taken.
	acceptAfterStop = 3 * time.Second
	// quietBeforeEnd is the time without a request after which a stopping node ends.
	quietBeforeEnd = 100 * time.Millisecond
	// endPart is the part of the grace after which calls in progress are cut. The
	// platform excuses those that are still at work in its last sixth, and a slow
	// machine needs time to end the process.
	endPart  = 0.85
	pollStop = 50 * time.Millisecond
)

type edgeIn struct {
	fx.In
	Site     *port.Site
	Path     port.CallPath
	Calls    port.CallsInProgress
	Snapshot *port.SnapshotCell
	Grace    *kernel.Grace
	Logger   *log.Logger
	Metrics  metrics.Registry
}

type edge struct {
	edgeIn
	socket net.Listener
	// inHand counts the requests of this machine of which a byte was read and whose
	// answer is not written yet.
	inHand atomic.Int64
	// closed is set when no request is begun any more.
	closed atomic.Bool

	connections, requests metrics.Counter
	latency               metrics.Histogram
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "edge.outbound",
		Doc:  "Takes the requests of the clients and the server of the machine.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Invoke(func(lc fx.Lifecycle, in edgeIn) {
				e := &edge{
					edgeIn:      in,
					connections: metrics.NewRegisteredCounter("outbound.connections", in.Metrics),
					requests:    metrics.NewRegisteredCounter("outbound.requests", in.Metrics),
					latency:     metrics.NewRegisteredHistogram("outbound.latency_ms", in.Metrics, metrics.NewExpDecaySample(1028, 0.015)),
				}
				lc.Append(fx.StartHook(e.start))
				in.Grace.OnDrain(e.drain)
			})
		},
	})
}

func (e *edge) start() error {
	socket, err := net.Listen("tcp", e.Site.Outbound.String())
	if err != nil {
		return err
	}
	e.socket = socket
	e.Logger.Info().Str("edge", "outbound").Str("address", e.Site.Outbound.String()).Msg("listening")
	go e.accept(netutil.LimitListener(socket, maxConnections))
	return nil
}

func (e *edge) accept(socket net.Listener) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			if !e.Grace.Stopping() {
				e.Logger.Error().Err(err).Msg("outbound listener failed")
			}
			return
		}
		e.connections.Inc(1)
		go newClient(e, conn).run()
	}
}

// drain keeps serving until clients have been sent elsewhere and the calls in
// progress, those of other nodes included, have ended.
func (e *edge) drain(over context.Context) {
	ticker := time.NewTicker(pollStop)
	defer ticker.Stop()
	end := time.Duration(endPart * float64(e.Site.Grace))
	quiet := time.Now()
	for {
		select {
		case <-over.Done():
			return
		case <-ticker.C:
		}
		if e.busy() {
			quiet = time.Now()
		}
		stopped := e.Grace.StoppingFor()
		if stopped >= acceptAfterStop {
			_ = e.socket.Close()
		}
		if stopped >= stayAfterStop && time.Since(quiet) >= quietBeforeEnd {
			e.closed.Store(true)
		}
		// A request may have come between the last look and the end; looking again
		// after closing leaves none behind.
		if stopped >= end || (e.closed.Load() && !e.busy()) {
			_ = e.socket.Close()
			e.Logger.Info().Dur("after", stopped).Int64("calls", e.Calls()+e.inHand.Load()).Msg("stopped serving")
			return
		}
	}
}

// busy reports whether a request that reached this node is not answered yet.
func (e *edge) busy() bool { return e.Calls() > 0 || e.inHand.Load() > 0 }

// limits returns the limits of the configuration in force.
func (e *edge) limits() mesh.EdgeLimits {
	l := mesh.EdgeLimits{
		HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
	s := e.Snapshot.Load()
	if s == nil {
		return l
	}
	if s.Limits.HeaderBytes > 0 {
		l.HeaderBytes = s.Limits.HeaderBytes
	}
	if s.Limits.BodyBytes > 0 {
		l.BodyBytes = s.Limits.BodyBytes
	}
	if s.Limits.HeaderTimeout > 0 {
		l.HeaderTimeout = s.Limits.HeaderTimeout
	}
	if s.Limits.IdleTimeout > 0 {
		l.IdleTimeout = s.Limits.IdleTimeout
	}
	return l
}
