package callforward

import (
	"net/http"

	"teaselring/port"
	"teaselring/wire"
)

// Paths on the peers' listener.
const (
	callPrefix = "/call"
	settlePath = "/settle"
)

// Headers that only calls between callers and upstreams of this path carry.
const (
	headerShed    = "Teasel-Shed"
	headerRetried = "Teasel-Retried"
)

// internalHeaders are set by nodes only; a caller or upstream can't forge them.
var internalHeaders = []string{
	wire.HeaderAttempt, wire.HeaderService, wire.HeaderVersion, wire.HeaderIncarnation, wire.HeaderClass,
	wire.HeaderRoute, wire.HeaderFingerprint, wire.HeaderLoad, wire.HeaderStartBy, wire.HeaderAim, wire.HeaderPriority, port.CodeHeader,
}

// removeHeaders deletes what concerns one connection or the nodes only.
func removeHeaders(h http.Header) {
	wire.RemoveHopHeaders(h)
	for _, name := range internalHeaders {
		h.Del(name)
	}
}
