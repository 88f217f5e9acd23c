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

// Headers between callers and upstreams of this plug-in.
const (
	headerShed    = "Teasel-Shed"
	headerRetried = "Teasel-Retried"
)

// internalHeaders are set by nodes only. They are removed from the messages of callers
// and upstreams, which could forge them.
var internalHeaders = []string{
	wire.HeaderAttempt, wire.HeaderService, wire.HeaderVersion, wire.HeaderIncarnation, wire.HeaderClass,
	wire.HeaderRoute, wire.HeaderFingerprint, wire.HeaderLoad, wire.HeaderStartBy, wire.HeaderSoftDeadline, wire.HeaderPriority, port.CodeHeader,
}

// removeInternalHeaders deletes hop-by-hop headers and those between nodes.
func removeInternalHeaders(h http.Header) {
	wire.RemoveHopHeaders(h)
	for _, name := range internalHeaders {
		h.Del(name)
	}
}
