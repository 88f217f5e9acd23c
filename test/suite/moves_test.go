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

// load sends reads through nodes at a steady rate until stopped.
func load(nodes []*harness.Node, perSecond int) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
				running.Go(func() {
					defer GinkgoRecover()
					call(nodes[i%len(nodes)], "GET", fmt.Sprintf("/stock/%d", i), "", nil)
				})
			case <-done:
				return
			}
		}
	})
	return func() { close(done); running.Wait() }
}

func moveOn(c *harness.Cluster, n *harness.Node, id string) mesh.Move {
	var m mesh.Move
	if status, body := c.SendOperatorRequest(n, http.MethodGet, "/v1/moves/"+id, ""); status == http.StatusOK {
		Expect(json.Unmarshal([]byte(body), &m)).To(Succeed())
	}
	return m
}

// startMove starts a move, once the node has heard of both versions. The status
// that a spec waited for before asks each node for its own upstream, which the
// view of the node that is asked to start the move may not have yet.
func startMove(c *harness.Cluster, n *harness.Node, id string, target time.Duration) {
	GinkgoHelper()
	body := fmt.Sprintf(`{"id":%q,"service":"stock","old":"v1","new":"v2","target":%q}`,
		id, time.Now().Add(target).Format(time.RFC3339))
	var status int
	var answer string
	c.H.WaitUntil("the node to know both versions", func() error {
		status, answer = c.SendOperatorRequest(n, http.MethodPost, "/v1/moves", body)
		var refusal struct{ Code int }
		if json.Unmarshal([]byte(answer), &refusal) == nil && refusal.Code == result.MoveUnknownVersion.Number {
			return fmt.Errorf("not yet: %s", answer)
		}
		return nil
	})
	Expect(status).To(Equal(http.StatusOK), answer)
}

var _ = Describe("a move", func() {
	var c *harness.Cluster
	var old, fresh harness.Upstream
	start := func(badRate string) {
		c = harness.NewCluster(harness.New(GinkgoT()), 2, names(5)...)
		c.Start()
		c.WaitListening()
		old = c.H.StartUpstream("old", "stock", "v1", c.Nodes[0].Announce)
		untilKnown(c)
		applied(c, "p1")
		fresh = c.H.StartUpstream("new", "stock", "v2", c.Nodes[1].Announce, "-error-rate", badRate)
	}
	began := func(u harness.Upstream) int { return u.CountBegan(func(standin.Call) bool { return true }) }

	// The lease of a dead holder must pass to another node, and a bad version
	// must be taken back whoever leads the move.
	It("to a bad version is taken back by another node when its holder dies", func() {
		start("0.5")
		stop := load(c.Nodes[:3], 120)
		defer stop()
		Expect(began(fresh)).To(BeZero(), "calls of a version that no move names")
		c.H.WaitUntil("the new version to be announced", func() error {
			if _, body := c.SendOperatorRequest(c.Nodes[0], http.MethodGet, "/v1/status", ""); !containsVersion(body, "v2") {
				return fmt.Errorf("not yet: %s", body)
			}
			return nil
		})
		startMove(c, c.Nodes[0], "m1", 10*time.Minute)
		c.H.WaitUntil("a holder", func() error {
			if m := moveOn(c, c.Nodes[0], "m1"); m.Holder == "" {
				return fmt.Errorf("phase %s", m.Phase)
			}
			return nil
		})
		holder := moveOn(c, c.Nodes[0], "m1").Holder
		witness := c.Nodes[0]
		for _, n := range c.Nodes {
			if n.Name == string(holder) {
				n.Kill()
			} else if n != c.Nodes[1] {
				witness = n
			}
		}
		c.H.WaitUntil("another holder", func() error {
			if m := moveOn(c, witness, "m1"); m.Epoch < 2 {
				return fmt.Errorf("%s by %s in epoch %d", m.Phase, m.Holder, m.Epoch)
			}
			return nil
		})
		c.H.WaitUntil("the move to be taken back", func() error {
			m := moveOn(c, witness, "m1")
			if m.Phase != mesh.MoveTakenBack {
				return fmt.Errorf("%s by %s in epoch %d: %s", m.Phase, m.Holder, m.Epoch, m.Reason)
			}
			return nil
		})
		after := began(fresh)
		Consistently(func() int { return began(fresh) }, 3*time.Second, time.Second).Should(Equal(after))
		Expect(float64(after)).To(BeNumerically("<=", 0.10*float64(began(old)+after)))
	})
})

func containsVersion(status, version string) bool {
	var answer struct {
		Nodes []struct {
			Upstream *struct {
				Version string `json:"version"`
			} `json:"upstream"`
		} `json:"nodes"`
	}
	if json.Unmarshal([]byte(status), &answer) != nil {
		return false
	}
	for _, n := range answer.Nodes {
		if n.Upstream != nil && n.Upstream.Version == version {
			return true
		}
	}
	return false
}
