// Package standin holds what the stand-ins for outside systems share: serving
// HTTP at an address chosen by the system, a duty that owns a state, and a
// journal of what ran.
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

// Listen binds address and writes the address bound to a file when one is named.
func Listen(address, addressFile string) (Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil || addressFile == "" {
		return Listener{l}, err
	}
	// The rename keeps a reader from seeing half of the address.
	part := addressFile + ".part"
	if err := os.WriteFile(part, []byte(l.Addr().String()), 0o600); err != nil {
		return Listener{}, err
	}
	return Listener{l}, os.Rename(part, addressFile)
}

// Serve serves handler for the life of the application. A stop ends open calls.
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

// WriteJSON answers a request with a value in JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Control returns a handler that changes the members of part of a state that
// its JSON body names, and answers with all of them.
func Control[S, P any](o *Owner[S], part func(*S) *P) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		type answer struct {
			value P
			err   error
		}
		a := Query(r.Context(), o, func(s *S) answer {
			next := *part(s)
			decoder := json.NewDecoder(bytes.NewReader(body))
			decoder.DisallowUnknownFields()
			err := decoder.Decode(&next)
			if err == nil {
				*part(s) = next
			}
			return answer{next, err}
		})
		if a.err != nil {
			http.Error(w, a.err.Error(), http.StatusBadRequest)
			return
		}
		WriteJSON(w, http.StatusOK, a.value)
	}
}

// Wait lasts for d. It reports whether ctx was still alive then.
func Wait(ctx context.Context, d time.Duration) bool {
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
