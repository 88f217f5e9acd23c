// Package accountlimits is the plug-in "account.limits": it keeps the requests of client
// accounts within limits that hold over all nodes. Each node is at once the holder of
// credit for the requests that it admits, and the granting node of some accounts.
package accountlimits

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/decision/quota"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

const (
	chargeRing = "accounts.charges"
	returnRing = "accounts.returns"
	askRing    = "accounts.asks"
	sendRing   = "accounts.sends"
	answerRing = "accounts.answers"
	statusRing = "accounts.status"

	askPath = "/accounts"
	// maxAskBytes is far above the size of an ask for all accounts.
	maxAskBytes = 256 << 10
	// senders is the number of asks that wait for an answer at the same time. After the
	// loss of a zone several granting nodes are silent.
	senders = 8
	// sendTimeout bounds one ask. A busy instance stands still for up to 100 ms at a time.
	sendTimeout = 250 * time.Millisecond
	// idleTimeout is shorter than that of the inbound edge.
	idleTimeout = 20 * time.Second
)

type (
	// inbox leads from the inbound edge to the duty.
	inbox = kernel.Ring[kernel.Request[quota.Ask, quota.Answer]]
	// sends leads from the duty to the senders. There is one ask in flight to each granting
	// node, and at most three for each shard, so it has room.
	sends   = kernel.Ring[outgoing]
	answers = kernel.Ring[answered]
	// statuses leads from the inbound edge to the duty.
	statuses = kernel.Ring[kernel.Request[statusQuery, []quota.Status]]
)

// statusQuery requests the state of all accounts with a limit.
type statusQuery struct{}

// outgoing is an ask and the address of its receiver (IP:port).
type outgoing struct {
	quota.Outgoing
	address string
}

// answered is the outcome of an ask; the answer is nil if there is none.
type answered struct {
	out    quota.Outgoing
	answer *quota.Answer
	err    error
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "account.limits",
		Doc:  "Keeps the requests of client accounts within their limits over all nodes.",
		Module: func(kernel.Validator) fx.Option {
			options := []fx.Option{
				kernel.ProvideRing[kernel.Request[port.AccountCharge, struct{}]](chargeRing, 1024, kernel.WaitUntilDeadline),
				kernel.ProvideRing[port.AccountReturn](returnRing, 1024, kernel.Refuse),
				kernel.ProvideRing[kernel.Request[quota.Ask, quota.Answer]](askRing, 256, kernel.Refuse),
				kernel.ProvideRing[outgoing](sendRing, 4*quota.Shards, kernel.Refuse),
				kernel.ProvideRing[answered](answerRing, 4*quota.Shards, kernel.WaitUntilDeadline),
				kernel.ProvideRing[kernel.Request[statusQuery, []quota.Status]](statusRing, 4, kernel.Refuse),
				fx.Provide(newClient),
				kernel.ProvideDuty(newDuty),
				port.ProvideInboundRoute(newInboundRoute),
			}
			for i := range senders {
				options = append(options, kernel.ProvideDuty(func(in senderIn) kernel.Duty { return in.duty(fmt.Sprintf("account-sender-%d", i+1)) }))
			}
			return fx.Options(options...)
		},
	})
}

type dutyIn struct {
	fx.In
	Identity         mesh.Identity
	PlatformSettings *port.PlatformSettings
	Charges          *port.AccountChargeRing
	Returns          *port.AccountReturnRing
	Inbox            *inbox
	Sends            *sends
	Answers          *answers
	Statuses         *statuses
	Snapshot         *port.SnapshotCell
	View             *port.ViewCell
	Rows             *port.RowsCell
	Logger           *log.Logger
	Metrics          metrics.Registry
}

// newInboundRoute receives the asks of other nodes. A GET returns the state of all
// accounts with a limit as JSON.
func newInboundRoute(in *inbox, status *statuses) port.InboundRoute {
	return port.InboundRoute{Path: askPath, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body []byte
		var err error
		if r.Method == http.MethodGet {
			body, err = readStatus(r, status)
			w.Header().Set("Content-Type", "application/json")
		} else {
			ask, ok := port.DecodePeerMessage[quota.Ask](w, r, maxAskBytes)
			if !ok {
				return
			}
			body, err = answerAsk(r, in, ask)
		}
		if err != nil {
			port.Refuse(w, err)
			return
		}
		_, _ = w.Write(body)
	})}
}

func answerAsk(r *http.Request, in *inbox, ask quota.Ask) ([]byte, error) {
	if err := ask.Check(); err != nil {
		return nil, err
	}
	answer, err := kernel.Do(r.Context(), in, ask)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(answer)
}

func readStatus(r *http.Request, ring *statuses) ([]byte, error) {
	status, err := kernel.Do(r.Context(), ring, statusQuery{})
	if err != nil {
		return nil, err
	}
	return json.Marshal(status)
}
