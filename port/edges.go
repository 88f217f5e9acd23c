package port

import (
	"crypto/tls"
	"net/http"
	"net/netip"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"teaselring/kernel"
)

// PeerAddressCell holds the address of the node's own peers' listener. It is
// nil until edge.peers has opened the listener.
type PeerAddressCell = kernel.Cell[netip.AddrPort]

// PeerRoute is a handler on the peers' listener. Only authenticated peers
// reach it.
type PeerRoute struct {
	Method  string
	Path    string
	Handler http.Handler
}

// ProvidePeerRoutes adds the []PeerRoute that constructor returns.
func ProvidePeerRoutes(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(`group:"peer_routes,flatten"`)))
}

// PeerTLS is how both ends of a connection between nodes authenticate.
type PeerTLS struct {
	Server *tls.Config
	Client *tls.Config
}

// PeerClient sends HTTP/2 requests to the peers' listeners of other nodes.
type PeerClient struct{ *http.Client }

// Role is what a token of an operator allows.
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

// ProvideOperatorRoutes adds the []OperatorRoute that constructor returns.
func ProvideOperatorRoutes(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(`group:"operator_routes,flatten"`)))
}

// ReadyCheck contributes to /readyz.
type ReadyCheck struct {
	Name  string
	Check func() error
}

// ProvideReadyCheck adds the ReadyCheck that constructor returns.
func ProvideReadyCheck(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(`group:"ready_checks"`)))
}

// OperatorName returns who sent an operators' request, for the audit trail.
func OperatorName(c *gin.Context) string { return c.GetString(operatorKey) }

// SetOperatorName is called by the operators' edge after authentication.
func SetOperatorName(c *gin.Context, name string) { c.Set(operatorKey, name) }

const operatorKey = "operator"

// CallEntry handles callers' requests. It is provided by the call path and
// served by the callers' edge.
type CallEntry struct{ Handler http.Handler }
