// Package mesh holds the core types of teaselring: identities, records,
// snapshots, members, calls and moves. Its methods depend only on their receiver and
// arguments: they read no clock and make no requests.
package mesh

// NodeID names a node. It comes from the settings and is the same after a restart.
type NodeID string

// Zone names an availability zone.
type Zone string

// Region names a region, a group of availability zones.
type Region string

// ServiceID names a service.
type ServiceID string

// RouteID names a route.
type RouteID string

// CallerID names a calling service in the Teasel-Caller header.
type CallerID string

// UpstreamVersion names one version of the program that serves a service.
type UpstreamVersion string

// Version numbers a configuration version. 0 means none.
type Version uint64

// Incarnation numbers the starts of a node. A later start has a higher number.
type Incarnation uint64

// Identity holds the id and the location of a node, from its settings.
type Identity struct {
	Node   NodeID
	Zone   Zone
	Region Region
}
