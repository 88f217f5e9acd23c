// Package operatorsapi is the plug-in "operators.api": the routes with which
// operators apply records, start moves, drain upstreams and read status and
// audit trail. It sends requests to the duties that decide and encodes their
// replies.
package operatorsapi

import (
	"net/http"

	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "operators.api",
		Doc:  "Serves the operators' routes for records, moves, status, drain and audit.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Options(
				fx.Provide(newAPI),
				port.ProvideOperatorRoutes(func(a *api) []port.OperatorRoute { return a.routes() }),
				port.ProvidePeerRoutes(func(a *api) []port.PeerRoute {
					return []port.PeerRoute{
						{Method: http.MethodGet, Path: statusPath, Handler: http.HandlerFunc(a.peerStatus)},
						{Method: http.MethodPost, Path: drainPath, Handler: http.HandlerFunc(a.peerDrain)},
					}
				}),
			)
		},
	})
}

// api serves the routes.
type api struct{ in apiIn }

// apiIn holds the dependencies of the routes. Optional ones are nil if the program
// does not include their plug-in.
type apiIn struct {
	fx.In
	Identity  mesh.Identity
	Snapshot  *port.SnapshotCell
	Status    *port.ConfigStatusCell
	View      *port.ViewCell
	Local     *port.LocalCell `optional:"true"`
	Peers     port.PeerClient
	Publish   *port.PublishRing
	History   *port.HistoryRing
	Drains    *port.DrainRing     `optional:"true"`
	Moves     *port.MovesCell     `optional:"true"`
	Starts    *port.StartMoveRing `optional:"true"`
	TakeBacks *port.TakeBackRing  `optional:"true"`
	Audit     port.AuditReader    `optional:"true"`
	Entries   *port.AuditRing     `optional:"true"`
}

func newAPI(in apiIn) *api { return &api{in: in} }

func (a *api) routes() []port.OperatorRoute {
	return []port.OperatorRoute{
		{Method: http.MethodPost, Path: "/v1/apply", Role: port.RoleChange, Handle: a.apply},
		{Method: http.MethodPost, Path: "/v1/validate", Role: port.RoleRead, Handle: a.validate},
		{Method: http.MethodGet, Path: "/v1/records", Role: port.RoleRead, Handle: a.records},
		{Method: http.MethodGet, Path: "/v1/diff", Role: port.RoleRead, Handle: a.diff},
		{Method: http.MethodGet, Path: "/v1/status", Role: port.RoleRead, Handle: a.status},
		{Method: http.MethodPost, Path: "/v1/moves", Role: port.RoleChange, Handle: a.startMove},
		{Method: http.MethodGet, Path: "/v1/moves", Role: port.RoleRead, Handle: a.listMoves},
		{Method: http.MethodGet, Path: "/v1/moves/:id", Role: port.RoleRead, Handle: a.getMove},
		{Method: http.MethodPost, Path: "/v1/moves/:id/take-back", Role: port.RoleChange, Handle: a.takeBack},
		{Method: http.MethodPost, Path: "/v1/drain", Role: port.RoleChange, Handle: a.drain},
		{Method: http.MethodGet, Path: "/v1/audit", Role: port.RoleRead, Handle: a.audit},
	}
}
