package main

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	callsPerSecond = 300 // of each service
	callsAtOnce    = 64
)

// traffic is a steady load on one service over all nodes.
type traffic struct {
	nodes  []*demoNode
	path   string
	client *http.Client
	good   atomic.Int64
	errors atomic.Int64
}

func newTraffic(nodes []*demoNode, path string) *traffic {
	transport := &http.Transport{MaxIdleConnsPerHost: callsAtOnce}
	return &traffic{nodes: nodes, path: path, client: &http.Client{Transport: transport, Timeout: 2 * time.Second}}
}

// run sends calls at the fixed rate until ctx ends.
func (t *traffic) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second / callsPerSecond)
	defer ticker.Stop()
	places := make(chan struct{}, callsAtOnce)
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		places <- struct{}{}
		calls.Go(func() {
			defer func() { <-places }()
			t.call(ctx, t.nodes[i%len(t.nodes)])
		})
	}
}

func (t *traffic) call(ctx context.Context, n *demoNode) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callers.String()+t.path, nil)
	if err != nil {
		return
	}
	answer, err := t.client.Do(request)
	if err != nil {
		return // the demonstration is ending
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	if answer.StatusCode == http.StatusOK {
		t.good.Add(1)
	} else {
		t.errors.Add(1)
	}
}
