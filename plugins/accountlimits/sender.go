package accountlimits

import (
	"context"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/fx"

	"teaselring/decision/quota"
	"teaselring/kernel"
	"teaselring/port"
)

// client sends asks to other nodes.
type client struct{ *http.Client }

func newClient() client {
	return client{&http.Client{Timeout: sendTimeout, Transport: port.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, DisableCompression: true,
	})}}
}

type senderIn struct {
	fx.In
	Sends   *sends
	Answers *answers
	Client  client
}

// duty returns one of the duties that send asks and wait for their answers.
func (in senderIn) duty(name string) kernel.Duty {
	run := func(ctx context.Context) error {
		return in.Sends.Each(ctx, func(o outgoing) {
			answer, err := in.ask(ctx, &o)
			_ = in.Answers.Send(ctx, answered{out: o.Outgoing, answer: answer, err: err})
		})
	}
	return kernel.Duty{Name: name, Owns: "nothing; it waits for one node's answer", In: []string{sendRing}, Out: []string{answerRing}, Run: run}
}

func (in *senderIn) ask(ctx context.Context, o *outgoing) (*quota.Answer, error) {
	body, err := cbor.Marshal(o.Ask)
	if err != nil {
		return nil, err
	}
	content, err := port.PostToPeer(ctx, in.Client.Client, o.address, askPath, body)
	if err != nil {
		return nil, err
	}
	var answer quota.Answer
	if err := cbor.Unmarshal(content, &answer); err != nil {
		return nil, err
	}
	return &answer, answer.Check()
}
