package operatorsapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"golang.org/x/sync/errgroup"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// Paths on the peers' listener.
const (
	statusPath = "/status"
	drainPath  = "/drain"
)

const (
	// statusFanOut is the number of nodes that are asked at a time.
	statusFanOut  = 32
	statusTimeout = 2 * time.Second
)

// nodeStatus is the state of one node.
type nodeStatus struct {
	Node     mesh.NodeID   `json:"node"`
	Zone     mesh.Zone     `json:"zone"`
	State    string        `json:"state"`
	Endpoint mesh.Endpoint `json:"endpoint"`
	port.ConfigStatus
	Error string `json:"error,omitempty"` // why the node did not answer
}

// status asks every known node, so that no node has to spread its state.
func (a *api) status(c *gin.Context) {
	view := a.View.Load()
	if view == nil {
		c.JSON(http.StatusOK, gin.H{"nodes": []nodeStatus{a.ownStatus()}})
		return
	}
	nodes := make([]nodeStatus, len(view.Members))
	var asking errgroup.Group
	asking.SetLimit(statusFanOut)
	for i := range view.Members {
		asking.Go(func() error {
			nodes[i] = a.statusOf(c.Request.Context(), &view.Members[i])
			return nil
		})
	}
	_ = asking.Wait() // failures are part of each node's status
	c.JSON(http.StatusOK, gin.H{"nodes": nodes})
}

func (a *api) ownStatus() nodeStatus {
	s := nodeStatus{Node: a.Identity.Node, Zone: a.Identity.Zone, State: "alive"}
	if status := a.Status.Load(); status != nil {
		s.ConfigStatus = *status
	}
	if a.Local != nil {
		if local := a.Local.Load(); local != nil {
			s.Endpoint = local.Endpoint
		}
	}
	return s
}

func (a *api) statusOf(ctx context.Context, m *mesh.Member) nodeStatus {
	if m.Node == a.Identity.Node {
		return a.ownStatus()
	}
	s := nodeStatus{Node: m.Node, Zone: m.Zone, State: stateName(m.State), Endpoint: m.Endpoint}
	if m.State != mesh.NodeAlive && m.State != mesh.NodeSuspect {
		return s
	}
	answered, err := a.askStatus(ctx, m.PeerAddress)
	if err != nil {
		s.Error = err.Error()
		return s
	}
	answered.State = s.State
	return answered
}

func (a *api) askStatus(ctx context.Context, address string) (nodeStatus, error) {
	var s nodeStatus
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+address+statusPath, nil)
	if err != nil {
		return s, err
	}
	answer, err := a.Peers.Do(request)
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	return s, json.NewDecoder(answer.Body).Decode(&s)
}

func (a *api) peerStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.ownStatus())
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

// drain takes the upstream beside a node out of service. It asks that node,
// which may be another one.
func (a *api) drain(c *gin.Context) {
	var request struct {
		Node mesh.NodeID `json:"node"`
	}
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
	c.JSON(http.StatusOK, gin.H{"node": request.Node, "state": "draining"})
}

func (a *api) drainNode(ctx context.Context, node mesh.NodeID, by string) error {
	if node == a.Identity.Node {
		return a.drainLocal(ctx, by)
	}
	view := a.View.Load()
	for i := 0; view != nil && i < len(view.Members); i++ {
		if view.Members[i].Node == node {
			return a.drainPeer(ctx, &view.Members[i], by)
		}
	}
	return result.BadRequest.Errorf("node %q is not known", node)
}

func (a *api) drainLocal(ctx context.Context, by string) error {
	if a.Drains == nil {
		return result.BadRequest.Errorf("node %q has no upstream", a.Identity.Node)
	}
	if _, err := kernel.Do(ctx, a.Drains, port.Drain{By: by}); err != nil {
		return err
	}
	if a.Entries == nil {
		return nil
	}
	return a.Entries.Send(ctx, port.AuditEntry{
		Time: time.Now(), Who: by, Action: "drain", Subject: string(a.Identity.Node), To: "draining",
	})
}

func (a *api) drainPeer(ctx context.Context, m *mesh.Member, by string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+m.PeerAddress+drainPath, nil)
	if err != nil {
		return result.Internal.Errorf("node %s: %v", m.Node, err)
	}
	request.Header.Set("X-Operator", by)
	answer, err := a.Peers.Do(request)
	if err != nil {
		return result.ConnectionLost.Errorf("node %s: %v", m.Node, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusOK {
		return nil
	}
	var refusal port.Refusal
	if err := json.NewDecoder(answer.Body).Decode(&refusal); err != nil {
		return result.Internal.Errorf("node %s: status %d", m.Node, answer.StatusCode)
	}
	return result.ByNumber(refusal.Code).Errorf("node %s: %s", m.Node, refusal.Message)
}

func (a *api) peerDrain(w http.ResponseWriter, r *http.Request) {
	if err := a.drainLocal(r.Context(), r.Header.Get("X-Operator")); err != nil {
		port.Refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}
