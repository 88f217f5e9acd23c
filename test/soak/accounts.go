package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// configApplyBound is the platform's ConfigApplyS.
	configApplyBound = 2500 * time.Millisecond
	// keyVersions is the number of versions that hold a key; they last longer than
	// configApplyBound, so that a key is valid for a while.
	keyVersions = 8
	keyPrefix   = "secret-"

	// drawLimits is off: checkLimits has not been run against the limits over all nodes yet.
	drawLimits   = false
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// accountNames are the client accounts. The first has no limit, since the checks of
// recovery use it.
var accountNames = []string{"unlimited", "north", "south"}

// accountLimit is the limit of an account over all nodes.
type accountLimit struct{ perS, burst float64 }

// allowance is the number of an account's requests that may run in any quotaWindow.
func (l accountLimit) allowance() int {
	return int((l.perS*quotaWindow.Seconds()+l.burst)*(1+quotaOverage) + quotaSlack)
}

// accountKey returns the key of an account that a version adds. Key 0 is never revoked; a
// negative one is unknown.
func accountKey(account string, version int) string {
	return fmt.Sprintf("%s%s-%d", keyPrefix, account, version)
}

func isKey(value string) bool { return strings.Contains(value, keyPrefix) }

func drawAccountLimits(rnd *rand.Rand) map[string]accountLimit {
	limits := map[string]accountLimit{}
	for _, name := range accountNames[1:] {
		limits[name] = accountLimit{perS: float64(5 + rnd.IntN(40)), burst: float64(rnd.IntN(40))}
	}
	return limits
}

// tenants returns the accounts of a version. Each version adds a key to each account and
// revokes the one of keyVersions before.
func (f *fleet) tenants(version int) []any {
	var tenants []any
	for _, name := range accountNames {
		keys := []string{accountKey(name, 0)}
		for v := max(1, version-keyVersions+1); v <= version; v++ {
			keys = append(keys, accountKey(name, v))
		}
		limit := f.ledger.limits[name]
		tenants = append(tenants, map[string]any{"Name": name, "ApiKeys": keys, "PerS": limit.perS, "Burst": limit.burst})
	}
	return tenants
}

// credentials are the keys of a call.
type credentials struct {
	header  http.Header // nil: the configuration has no accounts
	account string      // that the server must see; "": the call must not run
	version int         // that added the key
}

// drawCredentials draws the keys of a call, and an account header of the client's own.
func (f *fleet) drawCredentials(rnd *rand.Rand) credentials {
	if !f.hasAccounts {
		return credentials{}
	}
	c := credentials{header: http.Header{}, account: accountNames[rnd.IntN(len(accountNames))]}
	if rnd.IntN(2) == 0 {
		c.version = max(0, f.version()-rnd.IntN(2*keyVersions))
	}
	spelling := []string{"Key", "KEY", "key"}[rnd.IntN(3)]
	valid, unknown := accountKey(c.account, c.version), accountKey(c.account, -1)
	switch rnd.IntN(16) {
	case 0:
		c.account = ""
	case 1:
		c.account, c.header[spelling] = "", []string{unknown}
	case 2:
		c.account, c.header["kEY"], c.header["KEy"] = "", []string{valid}, []string{unknown}
	case 3:
		c.header[spelling] = []string{valid, valid}
	default:
		c.header[spelling] = []string{valid}
	}
	if rnd.IntN(2) == 0 {
		c.header["Tenant"] = []string{accountNames[rnd.IntN(len(accountNames))]}
	}
	return c
}

// checkKey checks what a server saw of the keys of a call. The caller does not hold mu.
func (l *ledger) checkKey(c *call, id string, h http.Header) {
	for name, values := range h {
		if slices.ContainsFunc(values, isKey) {
			l.addViolation("KEY", "request %s reached a server with a key in header %s", id, name)
		}
	}
	var want []string
	if c != nil && c.account != "" {
		want = []string{c.account}
	}
	if got := h.Values("Tenant"); c != nil && !slices.Equal(got, want) {
		l.addViolation("KEY", "request %s reached a server with accounts %q, not %q", id, got, want)
	}
}

// checkKeyOfRuns returns why a call with the runs breaks the rules of keys; "": it does not.
// The caller holds mu.
func (l *ledger) checkKeyOfRuns(c *call, runs []run) string {
	revokedAt, revoked := l.versionWritten(c.version + keyVersions)
	revoked = revoked && c.version > 0
	addedAt, _ := l.versionWritten(c.version)
	// A node applies versions in time only if nothing disturbs it.
	undisturbed := !l.underFault(c.machine, c.began, c.began)
	inForce := c.version == 0 || (undisturbed && c.began.Sub(addedAt) > configApplyBound)
	valid := c.header == nil || (c.account != "" && inForce && (!revoked || c.ended.Before(revokedAt)))
	switch {
	case len(runs) > 0 && c.header != nil && c.account == "":
		return fmt.Sprintf("ran without a valid key on %v", runs)
	case len(runs) > 0 && revoked && undisturbed && c.began.Sub(revokedAt) > configApplyBound:
		return fmt.Sprintf("ran on %v with a key that was revoked %v before", runs, c.began.Sub(revokedAt))
	case valid && isDenial(c.status):
		return fmt.Sprintf("answered %d with a valid key of version %d", c.status, c.version)
	}
	return ""
}

func isDenial(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusForbidden
}

// checkLimits returns the accounts that exceeded their limits. The caller holds mu.
func (l *ledger) checkLimits() (violations []string) {
	for name, limit := range l.limits {
		var times []time.Time
		for id, runs := range l.runs {
			for _, r := range runs {
				if c := l.calls[id]; c != nil && c.account == name {
					times = append(times, r.at)
				}
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		for n := limit.allowance(); n < len(times); n++ {
			if period := times[n].Sub(times[n-limit.allowance()]); period < quotaWindow {
				violations = append(violations, fmt.Sprintf("QUOTA: %d requests of account %s ran within %v", limit.allowance()+1, name, period))
				break
			}
		}
	}
	return violations
}
