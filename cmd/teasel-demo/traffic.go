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
	callsPerSecond     = 300 // of each service
	maxConcurrentCalls = 64
)

// traffic is a constant load on one service through all nodes.
type traffic struct {
	nodes     []*demoNode
	path      string
	client    *http.Client
	succeeded atomic.Int64
	failed    atomic.Int64
}

func newTraffic(nodes []*demoNode, path string) *traffic {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConcurrentCalls}
	return &traffic{nodes: nodes, path: path, client: &http.Client{Transport: transport, Timeout: 2 * time.Second}}
}

// run sends calls at a fixed rate until ctx ends.
func (t *traffic) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second / callsPerSecond)
	defer ticker.Stop()
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		semaphore <- struct{}{}
		calls.Go(func() {
			defer func() { <-semaphore }()
			t.call(ctx, t.nodes[i%len(t.nodes)])
		})
	}
}

func (t *traffic) call(ctx context.Context, n *demoNode) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callers.String()+t.path, nil)
	if err != nil {
		return
	}
	response, err := t.client.Do(request)
	if err != nil {
		return // the demonstration is ending
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode == http.StatusOK {
		t.succeeded.Add(1)
	} else {
		t.failed.Add(1)
	}
}
