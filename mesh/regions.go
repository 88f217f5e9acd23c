package mesh

import "slices"

// AllowedRegions are the regions whose upstreams may get a call. Each non-empty list
// binds, so that a call needs a region that is in both.
type AllowedRegions struct{ Route, Account []Region }

// Allow reports whether an upstream in the region may get the call.
func (a *AllowedRegions) Allow(r Region) bool {
	return (len(a.Route) == 0 || slices.Contains(a.Route, r)) && (len(a.Account) == 0 || slices.Contains(a.Account, r))
}
