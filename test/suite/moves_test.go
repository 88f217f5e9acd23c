package suite

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
	"teaselring/test/harness"
	"teaselring/test/standin"
)

// startReads sends reads through nodes at a constant rate until stop is called.
func startReads(nodes []*harness.Node, perSecond int) (stop func()) {
	done := make(chan struct{})
	var requests sync.WaitGroup
	requests.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
				requests.Go(func() {
					defer GinkgoRecover()
					call(nodes[i%len(nodes)], "GET", fmt.Sprintf("/stock/%d", i), "", nil)
				})
			case <-done:
				return
			}
		}
	})
	return func() { close(done); requests.Wait() }
}

// getMove returns a move as a node reports it, the zero move if the node does not
// respond with one.
func getMove(c *harness.Cluster, n *harness.Node, id string) mesh.Move {
	var m mesh.Move
	if status, body := c.SendOperatorRequest(n, http.MethodGet, "/v1/moves/"+id, ""); status == http.StatusOK {
		Expect(json.Unmarshal([]byte(body), &m)).To(Succeed())
	}
	return m
}

// startMove starts a move as soon as the node's view contains both versions. Waiting
// for /v1/status is not enough: it queries each node for its local upstream, which
// the view of the node that starts the move may not contain yet.
func startMove(c *harness.Cluster, n *harness.Node, id string, target time.Duration) {
	GinkgoHelper()
	body := fmt.Sprintf(`{"id":%q,"service":"stock","old":"v1","new":"v2","target":%q}`,
		id, time.Now().Add(target).Format(time.RFC3339))
	var status int
	var response string
	c.H.WaitUntil("the node to accept both versions", func() error {
		status, response = c.SendOperatorRequest(n, http.MethodPost, "/v1/moves", body)
		var refusal struct{ Code int }
		if json.Unmarshal([]byte(response), &refusal) == nil && refusal.Code == result.MoveUnknownVersion.Number {
			return fmt.Errorf("version not in the view: %s", response)
		}
		return nil
	})
	Expect(status).To(Equal(http.StatusOK), response)
}

var _ = Describe("a move", func() {
	var c *harness.Cluster
	var oldUpstream, newUpstream harness.Upstream
	start := func(errorRate string) {
		c = harness.NewCluster(harness.New(GinkgoT()), 2, nodeNames(5)...)
		c.Start()
		c.WaitListening()
		oldUpstream = c.H.StartUpstream("old", "stock", "v1", c.Nodes[0].Announce)
		awaitAllAlive(c)
		applyRecords(c, "p1")
		newUpstream = c.H.StartUpstream("new", "stock", "v2", c.Nodes[1].Announce, "-error-rate", errorRate)
	}
	callCount := func(u harness.Upstream) int { return u.CountBegan(func(standin.Call) bool { return true }) }

	// The lease of a dead holder must pass to another node, and a move to a bad
	// version must be taken back whichever node holds the lease.
	It("to a bad version is taken back by another node when its holder dies", func() {
		start("0.5")
		stop := startReads(c.Nodes[:3], 120)
		defer stop()
		Expect(callCount(newUpstream)).To(BeZero(), "calls to a version without a move")
		c.H.WaitUntil("the new version to be announced", func() error {
			if _, body := c.SendOperatorRequest(c.Nodes[0], http.MethodGet, "/v1/status", ""); !hasUpstreamVersion(body, "v2") {
				return fmt.Errorf("not in the status: %s", body)
			}
			return nil
		})
		startMove(c, c.Nodes[0], "m1", 10*time.Minute)
		c.H.WaitUntil("the move to have a holder", func() error {
			if m := getMove(c, c.Nodes[0], "m1"); m.Holder == "" {
				return fmt.Errorf("phase %s", m.Phase)
			}
			return nil
		})
		holder := getMove(c, c.Nodes[0], "m1").Holder
		observer := c.Nodes[0]
		for _, n := range c.Nodes {
			if n.Name == string(holder) {
				n.Kill()
			} else if n != c.Nodes[1] {
				observer = n
			}
		}
		c.H.WaitUntil("another node to hold the move", func() error {
			if m := getMove(c, observer, "m1"); m.Epoch < 2 {
				return fmt.Errorf("%s by %s in epoch %d", m.Phase, m.Holder, m.Epoch)
			}
			return nil
		})
		c.H.WaitUntil("the move to be taken back", func() error {
			m := getMove(c, observer, "m1")
			if m.Phase != mesh.MoveTakenBack {
				return fmt.Errorf("%s by %s in epoch %d: %s", m.Phase, m.Holder, m.Epoch, m.Reason)
			}
			return nil
		})
		callsAfterEnd := callCount(newUpstream)
		Consistently(func() int { return callCount(newUpstream) }, 3*time.Second, time.Second).Should(Equal(callsAfterEnd))
		Expect(float64(callsAfterEnd)).To(BeNumerically("<=", 0.10*float64(callCount(oldUpstream)+callsAfterEnd)))
	})
})

// hasUpstreamVersion reports whether the body of /v1/status lists an upstream of a
// version.
func hasUpstreamVersion(status, version string) bool {
	var response struct {
		Nodes []struct {
			Upstream *struct {
				Version string `json:"version"`
			} `json:"upstream"`
		} `json:"nodes"`
	}
	if json.Unmarshal([]byte(status), &response) != nil {
		return false
	}
	for _, n := range response.Nodes {
		if n.Upstream != nil && n.Upstream.Version == version {
			return true
		}
	}
	return false
}
