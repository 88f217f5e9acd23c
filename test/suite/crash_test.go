package suite

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/result"
	"teaselring/test/harness"
	"teaselring/test/standin"
)

// poison sends a request that crashes the upstream process that runs it.
func poison(n *harness.Node) reply {
	request, err := http.NewRequest("POST", "http://"+n.Callers+"/upload/poison", strings.NewReader("poison"))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("X-Crash", "1")
	response, err := httpClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	return reply{status: response.StatusCode, code: response.Header.Get("Teasel-Code")}
}

// Guards against a request that its caller repeats until it has crashed every upstream.
var _ = It("a request that crashes its upstream is stopped after the second crash", func() {
	s := newSystem(3)
	crashes := func() int {
		n := 0
		for _, u := range s.upstreams {
			n += u.CountBegan(func(c standin.Call) bool { return c.Path == "/upload/poison" })
		}
		return n
	}
	for i := range 2 {
		Expect(poison(s.Nodes[i]).result()).To(Equal(result.UpstreamLost))
		Expect(crashes()).To(Equal(i + 1))
	}
	// A process closes its connections before the harness observes its exit.
	s.H.WaitUntil("both processes to exit", func() error {
		ended := 0
		for _, u := range s.upstreams {
			select {
			case <-u.Exited():
				ended++
			default:
			}
		}
		if ended < 2 {
			return fmt.Errorf("%d have exited", ended)
		}
		return nil
	})
	// Nodes report a crash 0.5 s after they detect the exit of the process. A request
	// repeated before that could not be quarantined.
	for i, u := range s.upstreams {
		select {
		case <-u.Exited():
			u.Restart()
			s.H.WaitUntil("the report of a crash", func() error {
				if !strings.Contains(s.owners[i].Log(), "upstream process crashed") {
					return fmt.Errorf("%s has not reported a crash", s.owners[i].Name)
				}
				return nil
			})
		default:
		}
	}
	s.awaitAllReachable()
	time.Sleep(time.Second) // for the reports to reach all nodes
	for _, n := range s.Nodes {
		Expect(poison(n).result()).To(Equal(result.Quarantined))
	}
	Expect(crashes()).To(Equal(2))
	s.recover()
	s.expectNoFaults()
})
