package suite

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// versionInForce returns the configuration version in force on a node, 0 if there
// is none or the node does not respond.
func versionInForce(n *harness.Node) uint64 {
	request, err := http.NewRequest(http.MethodGet, "http://"+n.Operators+"/v1/records", nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+harness.ReadToken)
	response, err := httpClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	version, _ := strconv.ParseUint(response.Header.Get("Teasel-Version"), 10, 64)
	return version
}

// awaitVersion waits until each node has the version or a newer one in force.
func awaitVersion(c *harness.Cluster, version uint64, nodes ...*harness.Node) {
	GinkgoHelper()
	for _, n := range nodes {
		c.H.WaitUntil(fmt.Sprintf("version %d on %s", version, n.Name), func() error {
			if got := versionInForce(n); got < version {
				return fmt.Errorf("version %d", got)
			}
			return nil
		})
	}
}

// awaitAllAlive waits until each node reports all nodes as alive.
func awaitAllAlive(c *harness.Cluster) {
	GinkgoHelper()
	for _, n := range c.Nodes {
		c.H.WaitUntil(n.Name+" to report all nodes alive", func() error {
			_, body := c.SendOperatorRequest(n, http.MethodGet, "/v1/status", "")
			if alive := strings.Count(body, `"alive"`); alive != len(c.Nodes) {
				return fmt.Errorf("%d alive: %s", alive, body)
			}
			return nil
		})
	}
}

// serviceRecord returns the TOML of one service record.
func serviceRecord(id string, queue int) string {
	return fmt.Sprintf("[[record]]\nkind = \"service\"\nid = %q\nschema = 1\nslots = 6\nqueue = %d\n", id, queue)
}

// nodeNames returns the names n0, n1 and so on.
func nodeNames(count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("n%d", i)
	}
	return list
}

func mustApply(c *harness.Cluster, n *harness.Node, publication, text string) {
	GinkgoHelper()
	status, body := c.Apply(n, publication, text)
	Expect(status).To(Equal(http.StatusOK), body)
}

var _ = Describe("a configuration", func() {
	var c *harness.Cluster
	start := func(nodes int) {
		c = harness.NewCluster(harness.New(GinkgoT()), 2, nodeNames(nodes)...)
		c.Start()
		c.WaitListening()
		awaitAllAlive(c)
	}

	// A version that one node has accepted must spread without the platform.
	It("reaches every node when the platform goes down right after acceptance", func() {
		c = harness.NewCluster(harness.New(GinkgoT()), 2, nodeNames(5)...)
		c.ExtraSettings += "interval = \"10s\"\n" // no node polls the head in time
		c.Start()
		c.WaitListening()
		awaitAllAlive(c)
		mustApply(c, c.Nodes[0], "p1", records)
		c.Platform.Control(map[string]any{"outage": true})
		awaitVersion(c, 1, c.Nodes...)
	})

	// A restarted node has lost its version; a lagging peer must not make it serve an
	// older version than it served before.
	It("never goes back on a node that restarts while the platform is down", func() {
		start(4)
		for v := 1; v <= 3; v++ {
			mustApply(c, c.Nodes[0], fmt.Sprintf("p%d", v), serviceRecord("stock", v))
			awaitVersion(c, uint64(v), c.Nodes...)
		}
		c.Platform.Control(map[string]any{"outage": true})
		c.Nodes[2].Restart()
		c.H.WaitUntil("the restarted node to serve again", func() error {
			switch version := versionInForce(c.Nodes[2]); version {
			case 0:
				return errors.New("no version yet")
			case 3:
				return nil
			default:
				Fail(fmt.Sprintf("version %d after 3", version))
				return nil
			}
		})
	})

	It("is refused on a node that has no proof of the newest version", func() {
		start(2)
		mustApply(c, c.Nodes[0], "p1", records)
		awaitVersion(c, 1, c.Nodes...)
		c.Platform.Control(map[string]any{"outage": true})
		c.Nodes[1].Kill()
		c.Nodes[0].Restart()
		c.H.WaitListening(c.Nodes[0].Callers)
		Consistently(func() string { return call(c.Nodes[0], "GET", "/stock/x", "", nil).code }, 3*time.Second, 100*time.Millisecond).
			Should(Equal("1003"))
	})

	// A lost response must neither lose the change nor cause a second write.
	It("is written once when the platform's answer is lost", func() {
		start(2)
		c.Platform.Control(map[string]any{"lose_answers": 2})
		c.H.WaitUntil("the publication to be confirmed", func() error {
			if status, body := c.Apply(c.Nodes[0], "p1", records); status != http.StatusOK {
				return errors.New(body)
			}
			return nil
		})
		status, body := c.Apply(c.Nodes[1], "p1", records)
		Expect(status).To(Equal(http.StatusOK), body)
		Expect(body).To(ContainSubstring(`"version":1`))
	})

	It("merges non-overlapping changes of several operators", func() {
		start(3)
		mustApply(c, c.Nodes[0], "base", serviceRecord("base", 1))
		var operators sync.WaitGroup
		responses := make([]string, 6)
		for i := range responses {
			operators.Go(func() {
				defer GinkgoRecover()
				_, responses[i] = c.Apply(c.Nodes[i%3], fmt.Sprintf("op%d", i), serviceRecord(fmt.Sprintf("s%d", i), 1))
			})
		}
		operators.Wait()
		awaitVersion(c, 7, c.Nodes...)
		_, text := c.SendOperatorRequest(c.Nodes[0], http.MethodGet, "/v1/records", "")
		for i, response := range responses {
			Expect(response).To(ContainSubstring(`"version"`))
			Expect(text).To(ContainSubstring(fmt.Sprintf("'s%d'", i)))
		}
	})

	It("lets one of two overlapping changes win and tells the other what changed", func() {
		start(2)
		mustApply(c, c.Nodes[0], "base", serviceRecord("stock", 1))
		var operators sync.WaitGroup
		statuses, bodies := make([]int, 2), make([]string, 2)
		for i := range statuses {
			operators.Go(func() {
				defer GinkgoRecover()
				statuses[i], bodies[i] = c.SendOperatorRequest(c.Nodes[i], http.MethodPost,
					fmt.Sprintf("/v1/apply?publication=op%d&base=1", i), serviceRecord("stock", 10+i))
			})
		}
		operators.Wait()
		Expect(statuses).To(ConsistOf(http.StatusOK, http.StatusConflict), "%v", bodies)
		Expect(strings.Join(bodies, "")).To(And(ContainSubstring("2003"), ContainSubstring("stock")))
	})

	It("is refused whole when one record is bad, on every node", func() {
		start(2)
		mustApply(c, c.Nodes[0], "p1", serviceRecord("stock", 1))
		awaitVersion(c, 1, c.Nodes...)
		bad := serviceRecord("extra", 1) + "[[record]]\nkind = \"route\"\nid = \"r\"\nschema = 2\npath_prefix = \"/r\"\nservice = \"gone\"\nclass = \"read\"\ntimeout = \"1s\"\n"
		status, body := c.Apply(c.Nodes[1], "p2", bad)
		Expect(status).To(Equal(http.StatusUnprocessableEntity))
		Expect(body).To(And(ContainSubstring("2002"), ContainSubstring("gone")))
		_, text := c.SendOperatorRequest(c.Nodes[0], http.MethodGet, "/v1/records", "")
		Expect(text).NotTo(ContainSubstring("extra"))
	})

	// Many simultaneous restarts must neither overload the platform nor leave nodes on
	// an older version.
	It("reaches the half of the nodes that restart together", func() {
		start(8)
		mustApply(c, c.Nodes[0], "p1", records)
		awaitVersion(c, 1, c.Nodes...)
		for _, n := range c.Nodes[4:] {
			n.Kill()
		}
		mustApply(c, c.Nodes[0], "p2", serviceRecord("other", 1))
		before := c.Platform.Stats()["reads"]
		for _, n := range c.Nodes[4:] {
			n.Start(c.Settings(n))
		}
		awaitVersion(c, 2, c.Nodes...)
		reads := c.Platform.Stats()["reads"] - before
		Expect(reads).To(BeNumerically("<", 8*20), "reads of the platform during the restarts")
	})
})
