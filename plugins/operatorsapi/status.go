package operatorsapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"golang.org/x/sync/errgroup"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/operator"
	"teaselring/port"
	"teaselring/result"
)

// Paths on the peers' listener.
const (
	statusPath = "/status"
	drainPath  = "/drain"
)

const (
	// maxStatusRequests bounds the nodes that are queried concurrently.
	maxStatusRequests = 32
	statusTimeout     = 2 * time.Second
	maxStatusBytes    = 1 << 20 // of one node
)

// status queries every known node, so that nodes need not replicate their status.
func (a *api) status(c *gin.Context) {
	own := a.ownStatus()
	response := operator.StatusResponse{Node: own.Node, InForce: own.InForce, Nodes: []operator.NodeStatus{own}}
	if view := a.in.View.Load(); view != nil {
		response.Nodes = a.statusOfAll(c.Request.Context(), view)
	}
	c.JSON(http.StatusOK, response)
}

func (a *api) statusOfAll(ctx context.Context, view *mesh.View) []operator.NodeStatus {
	nodes := make([]operator.NodeStatus, len(view.Members))
	var group errgroup.Group
	group.SetLimit(maxStatusRequests)
	for i := range view.Members {
		group.Go(func() error {
			nodes[i] = a.statusOf(ctx, &view.Members[i])
			return nil
		})
	}
	_ = group.Wait() // failures are part of each node's status
	return nodes
}

func (a *api) ownStatus() operator.NodeStatus {
	s := operator.NodeStatus{Node: a.in.Identity.Node, Zone: a.in.Identity.Zone, Region: a.in.Identity.Region, State: "alive"}
	if status := a.in.Status.Load(); status != nil {
		s.InForce, s.Refused, s.Code, s.Reason = status.InForce, status.Refused, status.Code, status.Reason
	}
	if view := a.in.View.Load(); view != nil {
		if m := view.Member(a.in.Identity.Node); m != nil {
			s.Incarnation = m.Incarnation
		}
	}
	if a.in.Local != nil {
		if local := a.in.Local.Load(); local != nil {
			s.Upstream = upstreamStatus(local.Endpoint)
		}
	}
	return s
}

func upstreamStatus(e mesh.Endpoint) *operator.UpstreamStatus {
	if e.State == mesh.EndpointNone {
		return nil
	}
	return &operator.UpstreamStatus{Service: e.Service, Version: e.Version, Slots: e.Slots, State: endpointName(e.State)}
}

// statusOf queries a node. If it does not respond, the status is taken from the
// membership view, as its reason states.
func (a *api) statusOf(ctx context.Context, m *mesh.Member) operator.NodeStatus {
	if m.Node == a.in.Identity.Node {
		return a.ownStatus()
	}
	fromView := operator.NodeStatus{
		Node: m.Node, Incarnation: m.Incarnation, Zone: m.Zone, Region: m.Region,
		State: stateName(m.State), InForce: m.InForce, Upstream: upstreamStatus(m.Endpoint),
	}
	if m.State != mesh.NodeAlive && m.State != mesh.NodeSuspect {
		return fromView
	}
	reported, err := a.fetchStatus(ctx, m.PeerAddress)
	if err != nil {
		fromView.Code, fromView.Reason = result.ConnectionLost.Number, fmt.Sprintf("the node did not respond: %v", err)
		return fromView
	}
	reported.State = fromView.State
	return reported
}

func (a *api) fetchStatus(ctx context.Context, address string) (operator.NodeStatus, error) {
	var s operator.NodeStatus
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+address+statusPath, nil)
	if err != nil {
		return s, err
	}
	response, err := a.in.Peers.Do(request)
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	return s, json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&s)
}

func (a *api) peerStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.ownStatus())
}

func endpointName(s mesh.EndpointState) string {
	switch s {
	case mesh.EndpointStarting:
		return "starting"
	case mesh.EndpointReady:
		return "ready"
	case mesh.EndpointDraining:
		return "draining"
	case mesh.EndpointGone:
		return "gone"
	}
	return "unknown"
}

func stateName(s mesh.NodeState) string {
	switch s {
	case mesh.NodeAlive:
		return "alive"
	case mesh.NodeSuspect:
		return "suspect"
	case mesh.NodeDead:
		return "dead"
	case mesh.NodeLeft:
		return "left"
	}
	return "unknown"
}

// drain drains the upstream beside a node, which may be this node or a peer.
func (a *api) drain(c *gin.Context) {
	var request operator.DrainRequest
	if err := c.ShouldBindJSON(&request); err != nil {
		fail(c, result.BadRequest.Errorf("body: %v", err))
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), requestTimeout)
	defer cancel()
	if err := a.drainNode(ctx, request.Node, port.OperatorName(c)); err != nil {
		fail(c, err)
		return
	}
	c.JSON(http.StatusOK, struct{}{})
}

func (a *api) drainNode(ctx context.Context, node mesh.NodeID, by string) error {
	if node == a.in.Identity.Node {
		return a.drainLocal(ctx, by)
	}
	if view := a.in.View.Load(); view != nil {
		if m := view.Member(node); m != nil {
			return a.drainPeer(ctx, m, by)
		}
	}
	return result.BadRequest.Errorf("node %q is not known", node)
}

func (a *api) drainLocal(ctx context.Context, by string) error {
	if a.in.Drains == nil {
		return result.BadRequest.Errorf("node %q has no upstream", a.in.Identity.Node)
	}
	if _, err := kernel.Do(ctx, a.in.Drains, port.Drain{By: by}); err != nil {
		return err
	}
	a.addAuditEntry(port.AuditEntry{Who: by, Action: "drain", Subject: string(a.in.Identity.Node), To: "draining"})
	return nil
}

func (a *api) drainPeer(ctx context.Context, m *mesh.Member, by string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+m.PeerAddress+drainPath, nil)
	if err != nil {
		return result.Internal.Errorf("node %s: %v", m.Node, err)
	}
	request.Header.Set(operator.HeaderOperator, by)
	response, err := a.in.Peers.Do(request)
	if err != nil {
		return result.ConnectionLost.Errorf("node %s: %v", m.Node, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return nil
	}
	refusal := port.ReadRefusal(response)
	refusal.Message = fmt.Sprintf("node %s: %s", m.Node, refusal.Message)
	return refusal
}

func (a *api) peerDrain(w http.ResponseWriter, r *http.Request) {
	if err := a.drainLocal(r.Context(), r.Header.Get(operator.HeaderOperator)); err != nil {
		port.Refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}
