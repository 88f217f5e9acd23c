package mesh

import "slices"

// AllowedRegions are the regions whose upstreams may get a call. Each list that is not nil
// binds, so that a call needs a region that is in both; an empty list allows none.
type AllowedRegions struct{ Route, Account []Region }

// Allow reports whether an upstream in the region may get the call.
func (a *AllowedRegions) Allow(r Region) bool {
	return (a.Route == nil || slices.Contains(a.Route, r)) && (a.Account == nil || slices.Contains(a.Account, r))
}
