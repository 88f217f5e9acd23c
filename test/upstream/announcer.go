package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"teaselring/kernel"
	"teaselring/test/standin"
)

// announceInterval is defined by the protocol. A node treats three missing
// announcements as the end of the upstream.
const announceInterval = time.Second

type announcement struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Process string `json:"process"`
}

// announcer sends the announcements. It ignores failures: the next announcement
// follows within a second.
type announcer struct {
	address   string
	behaviour *behaviour
	now       *kernel.Ring[kernel.Request[struct{}, struct{}]]
	client    http.Client
}

const announceRing = "announce.now"

func newAnnouncer(l standin.Listener, b *behaviour) *announcer {
	return &announcer{
		address:   l.Addr().String(),
		behaviour: b,
		now:       kernel.NewRing[kernel.Request[struct{}, struct{}]](announceRing, 16, kernel.WaitUntilDeadline),
		client:    http.Client{Timeout: announceInterval, Transport: &http.Transport{}},
	}
}

// announceNow sends an announcement immediately and returns when the node has
// responded or ctx ends.
func (a *announcer) announceNow(ctx context.Context) { _, _ = kernel.Do(ctx, a.now, struct{}{}) }

func (a *announcer) duty() kernel.Duty {
	return kernel.Duty{Name: "announcer", Owns: "the connection to the node", In: []string{announceRing}, Run: a.run}
}

func (a *announcer) run(ctx context.Context) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	a.announce(ctx)
	for {
		select {
		case <-ticker.C:
			a.announce(ctx)
		case request := <-a.now.C():
			a.announce(ctx)
			request.Respond(struct{}{})
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *announcer) announce(ctx context.Context) {
	o := standin.Query(ctx, a.behaviour, func(s *state) options { return s.options })
	if *announceURL == "" || o.Silent || ctx.Err() != nil {
		return
	}
	body, _ := json.Marshal(announcement{
		Service: *service, Version: *version, Address: a.address,
		Slots: *slots, State: o.State, Process: process,
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, *announceURL, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	if response, err := a.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
