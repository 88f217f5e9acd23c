package port

import (
	"crypto/tls"
	"net/http"
	"net/netip"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"teaselring/kernel"
)

// PeerAddressCell holds the address of the node's own listener for peers. It is nil
// until edge.peers has opened the listener.
type PeerAddressCell = kernel.Cell[netip.AddrPort]

// PeerRoute is a handler on the listener for peers. Only requests of authenticated
// peers reach it.
type PeerRoute struct {
	Method  string
	Path    string
	Handler http.Handler
}

// ProvidePeerRoutes registers the []PeerRoute that constructor returns.
func ProvidePeerRoutes(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(`group:"peer_routes,flatten"`)))
}

// PeerTLS holds the mutual TLS configuration of connections between nodes.
type PeerTLS struct {
	Server *tls.Config
	Client *tls.Config
}

// PeerClient sends HTTP/2 requests to the peer listeners of other nodes.
type PeerClient struct{ *http.Client }

// Role is the set of requests that an operator's token allows.
type Role uint8

// Roles. Change includes read.
const (
	RoleNone Role = iota // no token needed
	RoleRead
	RoleChange
)

// OperatorRoute is a handler on the operators' listener.
type OperatorRoute struct {
	Method string
	Path   string
	Role   Role
	Handle gin.HandlerFunc
}

// ProvideOperatorRoutes registers the []OperatorRoute that constructor returns.
func ProvideOperatorRoutes(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(`group:"operator_routes,flatten"`)))
}

// ReadyCheck is one of the checks of /readyz.
type ReadyCheck struct {
	Name  string
	Check func() error
}

// ProvideReadyCheck registers the ReadyCheck that constructor returns.
func ProvideReadyCheck(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(`group:"ready_checks"`)))
}

// OperatorName returns the name of the operator who sent a request, for the audit
// trail.
func OperatorName(c *gin.Context) string { return c.GetString(operatorKey) }

// SetOperatorName stores the name for OperatorName. The operators' edge calls it
// after authentication.
func SetOperatorName(c *gin.Context, name string) { c.Set(operatorKey, name) }

const operatorKey = "operator"

// CallEntry handles callers' requests. It is provided by the call path and
// served by the callers' edge.
type CallEntry struct{ Handler http.Handler }
