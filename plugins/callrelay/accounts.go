package callrelay

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

// maxAccountLinesPerSecond bounds the log lines about requests refused for their key or
// for the limit of their account. Suppressed lines are counted in the next one.
const maxAccountLinesPerSecond = 10

// identify returns the account of a request, nil for none, and removes the key and the
// client's own account header. The error is result.Unauthenticated if the route requires
// a valid key. Without accounts in the configuration the headers are left alone, unless
// the platform has reserved them.
func (e *entry) identify(snapshot *mesh.Snapshot, route *mesh.Route, r *port.Request) (*mesh.Account, error) {
	if !e.handlesAccounts(snapshot) {
		return nil, nil
	}
	keys := removeHeader(r.Header, e.Headers.AccountKey)
	removeHeader(r.Header, e.Headers.Account)
	if !snapshot.RequiresKeys() {
		return nil, nil
	}
	problem := ""
	var account *mesh.Account
	switch {
	case len(keys) == 0:
		problem = "missing"
	case len(slices.Compact(keys)) > 1:
		// Two programs on the path could each honour another one.
		problem = "ambiguous"
	default:
		if account = snapshot.AccountByKey(keys[0]); account == nil {
			problem = "unknown"
		}
	}
	if account != nil || route.Anonymous {
		return account, nil
	}
	metrics.GetOrRegisterCounter("accounts.unauthenticated", e.Metrics).Inc(1)
	if suppressed, ok := e.accountLines.allow(time.Now()); ok {
		e.Logger.Warn().Str("request", r.Header.Get(e.Headers.RequestID)).Str("route", string(route.ID)).
			Uint64("version", uint64(snapshot.Version)).Str("key", problem).Int64("left_out", suppressed).Msg("request without a valid key refused")
	}
	return nil, result.Unauthenticated.Errorf("the key of the request is %s", problem)
}

// handlesAccounts reports whether the headers of keys and accounts are those of clients'
// accounts, not ordinary ones. The configuration may be nil.
func (in *relayIn) handlesAccounts(s *mesh.Snapshot) bool {
	return in.PlatformSettings.AccountHeadersReserved || (s != nil && s.RequiresKeys())
}

// setAccount makes a call one of an account; nil: of none.
func setAccount(c *mesh.Call, account *mesh.Account) {
	if account == nil {
		return
	}
	c.Account, c.Regions.Account = account.Name, account.Regions
	if account.HasPriority {
		c.Priority, c.HasPriority = account.Priority, true
	}
}

// raiseForServers gives a call without account and with a short target the highest
// priority. Servers make such calls for requests that were admitted by the priority of
// their accounts; behind the calls of other accounts they would make these requests fail.
func raiseForServers(c *mesh.Call) { c.Priority, c.HasPriority = 0, true }

// removeHeader deletes a header in any spelling and returns its values.
func removeHeader(h http.Header, name string) (values []string) {
	for spelling := range h {
		if strings.EqualFold(spelling, name) {
			values = append(values, h[spelling]...)
			delete(h, spelling)
		}
	}
	return values
}

// setAccountHeader tells the server the account of an attempt. An entry node that has an
// older configuration, without accounts, still forwards the client's headers.
func (o *owner) setAccountHeader(h http.Header, a *wire.Attempt) {
	if a.Call.Account == "" && !o.handlesAccounts(o.Snapshot.Load()) {
		return
	}
	removeHeader(h, o.Headers.AccountKey)
	removeHeader(h, o.Headers.Account)
	if a.Call.Account != "" {
		h.Set(o.Headers.Account, string(a.Call.Account))
	}
}

// serveCharged runs a call within the limit of its account. The credit of a call that did
// not run is given back. A call that is sent to several servers is charged once.
func (c *call) serveCharged(ctx context.Context) (*port.Response, error) {
	account := c.Snapshot.Load().Accounts[c.call.Account]
	if account == nil || account.Rate <= 0 {
		return c.serve(ctx)
	}
	if _, err := kernel.Do(ctx, c.Charges, port.AccountCharge{Account: account.Name}); err != nil {
		if result.Of(err) == result.Stopped && ctx.Err() != nil {
			err = result.DeadlineBefore.Errorf("the call ended while it waited for credit of its account")
		}
		return nil, err
	}
	response, err := c.serve(ctx)
	if err != nil && result.Of(err).Ran == result.NotRun {
		_ = c.Returns.Send(ctx, port.AccountReturn{Account: account.Name}) // refused when full: the credit is lost
	}
	return response, err
}

// logEnd logs the result of a call. The rate of lines about calls at the limit of their
// account is limited.
func (c *call) logEnd(response *port.Response, err error) {
	if result.Of(err) != result.AccountLimit {
		c.logResult(response, err)
		return
	}
	c.countResult(err)
	if suppressed, ok := c.accountLines.allow(time.Now()); ok {
		c.Logger.Info().Str("request", c.id).Str("route", string(c.route.ID)).Str("account", string(c.call.Account)).
			Uint64("version", uint64(c.version)).Int("code", result.AccountLimit.Number).Int64("left_out", suppressed).Err(err).Msg("account at its limit")
	}
}
