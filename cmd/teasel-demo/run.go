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

// moveTime is the time from the declaration of a move to its target. It leaves
// time for the evidence after the upstreams' cold start.
const moveTime = 52 * time.Second

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
	say("started %d nodes in 2 zones, each with an upstream beside it", len(nodes))
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
	return moveBoth(ctx, nodes, client)
}

// waitMembers waits until the nodes have found each other.
func waitMembers(ctx context.Context, client *operator.Client, n int) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		status, err := client.Status(ctx)
		if err == nil && len(status.Nodes) == n {
			say("the nodes have found each other")
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
	converged, err := client.WaitActive(ctx, applied.Version)
	if err != nil {
		return fmt.Errorf("configuration in force: %w", err)
	}
	say("configuration version %d is in force on %d nodes, seen %.1f s after it was accepted",
		applied.Version, converged.Active, time.Since(accepted).Seconds())
	return nil
}

// waitServed waits until each node serves a call of each service.
func waitServed(ctx context.Context, nodes []*demoNode) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for _, n := range nodes {
		for _, path := range []string{"/catalogue", "/billing"} {
			for !served(ctx, n, path) {
				select {
				case <-ticker.C:
				case <-ctx.Done():
					return fmt.Errorf("%s does not serve %s", n.name, path)
				}
			}
		}
	}
	say("every node serves calls of both services")
	return nil
}

func served(ctx context.Context, n *demoNode, path string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callers.String()+path, nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.Header.Get("Teasel-Code") == ""
}

// moveBoth declares a move of each service and follows both to their ends.
func moveBoth(ctx context.Context, nodes []*demoNode, client *operator.Client) error {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for _, path := range []string{"/catalogue", "/billing"} {
		go newTraffic(nodes, path).run(loadCtx)
	}
	target := time.Now().Add(moveTime)
	var good, bad mesh.Move
	var following errgroup.Group
	following.Go(func() (err error) {
		good, err = follow(ctx, client, "catalogue", target)
		return err
	})
	following.Go(func() (err error) {
		bad, err = follow(ctx, client, "billing", target)
		return err
	})
	if err := following.Wait(); err != nil {
		return err
	}
	return judge(nodes, good, bad)
}

func follow(ctx context.Context, client *operator.Client, service mesh.ServiceID, target time.Time) (mesh.Move, error) {
	id := mesh.MoveID("move-" + string(service))
	_, err := client.StartMove(ctx, operator.StartMoveRequest{
		ID: id, Service: service, Old: "v1", New: "v2", Target: target,
	})
	if err != nil {
		return mesh.Move{}, fmt.Errorf("move of %s: %w", service, err)
	}
	say("%s: move from v1 to v2 declared, to be done within %v", service, moveTime)
	last := ""
	return client.WatchMove(ctx, id, func(m mesh.Move) {
		state := fmt.Sprintf("%s, %.0f%% of calls to v2: %s", m.Phase, 100*m.Share, m.Reason)
		if state != last {
			say("%s: %s", service, state)
			last = state
		}
	})
}

// judge checks what the demonstration set out to show.
func judge(nodes []*demoNode, good, bad mesh.Move) error {
	for _, n := range nodes {
		say("%s beside %s: %s %s served %d calls, failed %d", n.upstream.address, n.name,
			n.upstream.service, n.upstream.version, n.upstream.served.Load(), n.upstream.failed.Load())
	}
	if good.Phase != mesh.MoveDone {
		return fmt.Errorf("the move to the good version ended as %s: %s", good.Phase, good.Reason)
	}
	if bad.Phase != mesh.MoveTakenBack {
		return fmt.Errorf("the move to the bad version ended as %s: %s", bad.Phase, bad.Reason)
	}
	say("the good version is in use, the bad one was taken back")
	return nil
}
