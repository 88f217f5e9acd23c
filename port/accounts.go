package port

import (
	"teaselring/kernel"
	"teaselring/mesh"
)

// AccountCharge requests credit for one request of an account. The response comes when
// the request may run. It fails with result.AccountLimit at the limit; the error's detail
// RetryAfterDetail is the time until the account has room again.
type AccountCharge struct{ Account mesh.AccountName }

// RetryAfterDetail is a time in seconds, with a fraction.
const RetryAfterDetail = "retry_after_s"

// AccountChargeRing leads from the call path to the account-limits duty.
type AccountChargeRing = kernel.Ring[kernel.Request[AccountCharge, struct{}]]

// AccountReturn gives back the credit of a request that did not run.
type AccountReturn struct{ Account mesh.AccountName }

// AccountReturnRing leads from the call path to the account-limits duty. It refuses when
// full: a lost return costs the account one request.
type AccountReturnRing = kernel.Ring[AccountReturn]
