package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"teaselring/mesh"
	"teaselring/operator"
)

// moveDuration is the time from the declaration of a move to its target. It is enough
// to collect evidence after the upstreams' cold start.
const moveDuration = 52 * time.Second

const pollInterval = 50 * time.Millisecond

const records = `
[[record]]
kind = "service"
id = "catalogue"
schema = 1
slots = 6
queue = 32

[[record]]
kind = "service"
id = "billing"
schema = 1
slots = 6
queue = 32

[[record]]
kind = "route"
id = "catalogue-read"
schema = 2
path_prefix = "/catalogue"
service = "catalogue"
class = "read"
timeout = "2s"

[[record]]
kind = "route"
id = "billing-lookup"
schema = 1
department = "accounts"
path = "/billing"
upstream = "billing"
timeout_ms = 2000
kind_of_call = "lookup"
`

func run(ctx context.Context) error {
	nodes, err := newMesh(ctx)
	if err != nil {
		return err
	}
	report("started %d nodes in 2 zones, each with an upstream beside it", len(nodes))
	client := operator.New(nodes[0].operators, changeToken)
	if err := waitMembers(ctx, client, len(nodes)); err != nil {
		return err
	}
	if err := apply(ctx, client); err != nil {
		return err
	}
	if err := waitServed(ctx, nodes); err != nil {
		return err
	}
	return runMoves(ctx, nodes, client)
}

// waitMembers waits until the status of the client's node lists n nodes.
func waitMembers(ctx context.Context, client *operator.Client, n int) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		status, err := client.Status(ctx)
		if err == nil && len(status.Nodes) == n {
			report("the nodes have found each other")
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d of %d nodes found: %w", len(status.Nodes), n, ctx.Err())
		}
	}
}

func apply(ctx context.Context, client *operator.Client) error {
	applied, err := client.Apply(ctx, operator.ApplyRequest{
		Publication: operator.NewID(), Records: []byte(records), Why: "demonstration",
	})
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	accepted := time.Now()
	converged, err := client.WaitConverged(ctx, applied.Version)
	if err != nil {
		return fmt.Errorf("configuration in force: %w", err)
	}
	report("configuration version %d is in force on %d nodes, seen %.1f s after it was accepted",
		applied.Version, converged.Active, time.Since(accepted).Seconds())
	return nil
}

// waitServed waits until each node serves a call of each service.
func waitServed(ctx context.Context, nodes []*demoNode) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for _, n := range nodes {
		for _, path := range []string{"/catalogue", "/billing"} {
			for !isServed(ctx, n, path) {
				select {
				case <-ticker.C:
				case <-ctx.Done():
					return fmt.Errorf("%s does not serve %s", n.name, path)
				}
			}
		}
	}
	report("every node serves calls of both services")
	return nil
}

func isServed(ctx context.Context, n *demoNode, path string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callers.String()+path, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.Header.Get("Teasel-Code") == ""
}

// runMoves declares a move of each service and watches both until they end.
func runMoves(ctx context.Context, nodes []*demoNode, client *operator.Client) error {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for _, path := range []string{"/catalogue", "/billing"} {
		go newTraffic(nodes, path).run(loadCtx)
	}
	target := time.Now().Add(moveDuration)
	var good, bad mesh.Move
	var group errgroup.Group
	group.Go(func() (err error) {
		good, err = runMove(ctx, client, "catalogue", target)
		return err
	})
	group.Go(func() (err error) {
		bad, err = runMove(ctx, client, "billing", target)
		return err
	})
	if err := group.Wait(); err != nil {
		return err
	}
	return checkOutcome(nodes, good, bad)
}

func runMove(ctx context.Context, client *operator.Client, service mesh.ServiceID, target time.Time) (mesh.Move, error) {
	id := mesh.MoveID("move-" + string(service))
	_, err := client.StartMove(ctx, operator.StartMoveRequest{
		ID: id, Service: service, Old: "v1", New: "v2", Target: target,
	})
	if err != nil {
		return mesh.Move{}, fmt.Errorf("move of %s: %w", service, err)
	}
	report("%s: move from v1 to v2 declared, to be done within %v", service, moveDuration)
	lastState := ""
	return client.WatchMove(ctx, id, func(m mesh.Move) {
		state := fmt.Sprintf("%s, %.0f%% of calls to v2: %s", m.Phase, 100*m.Share, m.Reason)
		if state != lastState {
			report("%s: %s", service, state)
			lastState = state
		}
	})
}

// checkOutcome checks that the move to the good version is done and the other taken back.
func checkOutcome(nodes []*demoNode, good, bad mesh.Move) error {
	for _, n := range nodes {
		report("%s beside %s: %s %s served %d calls, failed %d", n.upstream.address, n.name,
			n.upstream.service, n.upstream.version, n.upstream.served.Load(), n.upstream.failed.Load())
	}
	if good.Phase != mesh.MoveDone {
		return fmt.Errorf("the move to the good version ended as %s: %s", good.Phase, good.Reason)
	}
	if bad.Phase != mesh.MoveTakenBack {
		return fmt.Errorf("the move to the bad version ended as %s: %s", bad.Phase, bad.Reason)
	}
	report("the good version is in use, the bad one was taken back")
	return nil
}
