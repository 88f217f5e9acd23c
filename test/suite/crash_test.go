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

// poison sends a request that ends the process of the upstream that runs it.
func poison(n *harness.Node) reply {
	request, err := http.NewRequest("POST", "http://"+n.Callers+"/upload/poison", strings.NewReader("poison"))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("X-Crash", "1")
	answer, err := caller.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	return reply{status: answer.StatusCode, code: answer.Header.Get("Teasel-Code")}
}

// Guards against one request that its caller repeats until no upstream is left.
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
	// A process breaks its connections before its end is noticed here.
	s.H.WaitUntil("the end of both processes", func() error {
		ended := 0
		for _, u := range s.upstreams {
			select {
			case <-u.Exited():
				ended++
			default:
			}
		}
		if ended < 2 {
			return fmt.Errorf("%d have ended", ended)
		}
		return nil
	})
	// Nodes report a crash 0.5 s after they notice the end of the process. A
	// repetition before that could not be stopped.
	for i, u := range s.upstreams {
		select {
		case <-u.Exited():
			u.Restart()
			s.H.WaitUntil("the report of a crash", func() error {
				if !strings.Contains(s.owners[i].Log(), "upstream process crashed") {
					return fmt.Errorf("%s has not reported it", s.owners[i].Name)
				}
				return nil
			})
		default:
		}
	}
	s.awaitAll()
	time.Sleep(time.Second) // for the reports to reach all nodes
	for _, n := range s.Nodes {
		Expect(poison(n).result()).To(Equal(result.Quarantined))
	}
	Expect(crashes()).To(Equal(2))
	s.recover()
	s.expectTrue()
})
