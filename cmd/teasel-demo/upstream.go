package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	announceInterval         = time.Second
	serviceTime              = 2 * time.Millisecond
	badVersionFailurePercent = 30
)

// upstream simulates a back-end process.
type upstream struct {
	service, version string
	announce         netip.AddrPort
	bad              bool
	address          string
	process          string
	served, failed   atomic.Int64
}

func newUpstream(service, version string, announce netip.AddrPort) *upstream {
	return &upstream{
		service: service, version: version, announce: announce,
		bad: service == "billing" && version == "v2", process: rand.Text()[:12],
	}
}

func (u *upstream) start(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u.address = listener.Addr().String()
	server := &http.Server{Handler: u, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	go u.announcePeriodically(ctx)
	return nil
}

// ServeHTTP responds with the version. A bad version fails some of its calls.
func (u *upstream) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	<-time.After(serviceTime)
	n := u.served.Add(1)
	if u.bad && n%100 < badVersionFailurePercent {
		u.failed.Add(1)
		http.Error(w, "a fault of the new version", http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "%s %s\n", u.service, u.version)
}

// announcePeriodically announces the upstream as ready to its node until ctx ends.
func (u *upstream) announcePeriodically(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		u.announceOnce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (u *upstream) announceOnce(ctx context.Context) {
	body, _ := json.Marshal(map[string]any{
		"service": u.service, "version": u.version, "address": u.address,
		"slots": 6, "state": "ready", "process": u.process,
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.announce.String()+"/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
