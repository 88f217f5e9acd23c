// Package standin holds what the stand-ins for outside systems share: serving
// HTTP at an address chosen by the system, and a journal of what they ran.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"

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
func Serve(lc fx.Lifecycle, l Listener, handler http.Handler) {
	server := &http.Server{Handler: handler}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() { _ = server.Serve(l) }()
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}

// WriteJSON answers a request with a value in JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
