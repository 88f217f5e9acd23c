package kernel

import (
	"net/http"
	"runtime/debug"

	"github.com/juju/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"teaselring/result"
)

// ErrPanic is matched by errors of work that ended with a panic.
const ErrPanic = errors.ConstError("panic")

// Guard runs work and turns a panic into an error, so that a fault in one call or
// message does not end the process with all other calls in it.
type Guard struct {
	logger *log.Logger
	panics metrics.Counter
}

// NewGuard returns a guard that logs panics and counts them as "panics".
func NewGuard(logger *log.Logger, registry metrics.Registry) *Guard {
	return &Guard{logger: logger, panics: metrics.GetOrRegisterCounter("panics", registry)}
}

// Run calls f and returns its error. A panic is logged with its stack and returned as
// an error that is both ErrPanic and result.Internal. The work names what failed in
// the log line; request is the id of the request, empty for none.
func (g *Guard) Run(work, request string, f func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			g.record(work, request, value)
			err = &panicError{result.Internal.Errorf("%s ended with a panic: %v", work, value)}
		}
	}()
	return f()
}

// Handler returns a handler that records a panic of next and then breaks the connection
// off, so that no partial response looks complete.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value != http.ErrAbortHandler {
				g.record("request for "+r.URL.Path, "", value)
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}

func (g *Guard) record(work, request string, value any) {
	g.panics.Inc(1)
	g.logger.Error().Str("work", work).Str("request", request).Any("panic", value).
		Bytes("stack", debug.Stack()).Msg("recovered from a panic")
}

// Do is Run for work that returns no error of its own.
func (g *Guard) Do(work string, f func()) error {
	return g.Run(work, "", func() error { f(); return nil })
}

// panicError is ErrPanic with a result code.
type panicError struct{ coded *result.Error }

func (e *panicError) Error() string        { return e.coded.Error() }
func (e *panicError) Unwrap() error        { return e.coded }
func (e *panicError) Is(target error) bool { return target == ErrPanic }
