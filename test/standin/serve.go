// Package standin holds the common parts of the stand-ins for external systems: an
// HTTP server, a duty that owns a state, and a journal of calls and writes.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"go.uber.org/fx"
)

// Listener is the socket of a stand-in, bound before its duties start.
type Listener struct{ net.Listener }

// Listen binds address and writes the bound address to addressFile unless that is
// empty.
func Listen(address, addressFile string) (Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil || addressFile == "" {
		return Listener{l}, err
	}
	// The rename makes the write atomic for readers.
	temporary := addressFile + ".part"
	if err := os.WriteFile(temporary, []byte(l.Addr().String()), 0o600); err != nil {
		return Listener{}, err
	}
	return Listener{l}, os.Rename(temporary, addressFile)
}

// Serve serves handler from the start to the stop of the application. The stop closes
// open connections.
func Serve(lc fx.Lifecycle, l Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() { _ = server.Serve(l) }()
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
	return server
}

// WriteJSON sends a value as a JSON response.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Control returns a handler that decodes its JSON body into a part of the state and
// responds with the result. Absent members keep their value.
func Control[S, P any](o *Owner[S], part func(*S) *P) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		type outcome struct {
			value P
			err   error
		}
		a := Query(r.Context(), o, func(s *S) outcome {
			next := *part(s)
			decoder := json.NewDecoder(bytes.NewReader(body))
			decoder.DisallowUnknownFields()
			err := decoder.Decode(&next)
			if err == nil {
				*part(s) = next
			}
			return outcome{next, err}
		})
		if a.err != nil {
			http.Error(w, a.err.Error(), http.StatusBadRequest)
			return
		}
		WriteJSON(w, http.StatusOK, a.value)
	}
}

// Sleep blocks for d or until ctx ends, and reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
