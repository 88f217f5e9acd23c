package suite

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
	"teaselring/test/standin"
)

const (
	// drainBound is the time after which a leaving upstream gets no new work
	// (design page, section 8).
	drainBound = 3 * time.Second
	// schedulingSlack lets a call that was admitted in time begin later on a
	// busy machine.
	schedulingSlack = 500 * time.Millisecond
)

// slowUpload sends a body in pieces for about 6 s and returns the answer. It
// uses kept connections as callers do.
func slowUpload(n *harness.Node, path string) (body []byte, answer <-chan reply) {
	const pieces, pause = 40, 150 * time.Millisecond
	piece := bytes.Repeat([]byte(path+" "), 500)
	reader, writer := io.Pipe()
	go func() {
		for range pieces {
			_, _ = writer.Write(piece)
			time.Sleep(pause)
		}
		_ = writer.Close()
	}()
	answered := make(chan reply, 1)
	go func() {
		request, _ := http.NewRequest("POST", "http://"+n.Callers+path, reader)
		response, err := caller.Do(request)
		if err != nil {
			answered <- reply{err: err}
			return
		}
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		answered <- reply{status: response.StatusCode, code: response.Header.Get("Teasel-Code"), body: content, err: err}
	}()
	return bytes.Repeat(piece, pieces), answered
}

// beganAt returns which upstream began the call of a path.
func (s *system) beganAt(path string) int {
	GinkgoHelper()
	at := 0
	s.H.WaitUntil(path+" to begin", func() error {
		for at = range s.upstreams {
			if s.upstreams[at].CountBegan(func(c standin.Call) bool { return c.Path == path }) > 0 {
				return nil
			}
		}
		return fmt.Errorf("no upstream began it")
	})
	return at
}

// Guards against a graceful end that cuts calls, and against work that goes on
// arriving where it is no longer wanted.
var _ = DescribeTable("a slow upload ends whole, and no new work arrives after 3 s,",
	func(leave func(*system, int), left func(*system, int) *harness.Process) {
		s := newSystem(3)
		body, answer := slowUpload(s.entry, "/upload/slow")
		at := s.beganAt("/upload/slow")
		var since time.Time
		s.underLoad(func(r *harness.RunningLoad) {
			r.WaitStarted(calls() / 5)
			since = time.Now()
			leave(s, at)
		})
		time.Sleep(time.Until(since.Add(drainBound)))
		after := s.load(100, 0.4)
		results := s.H.StartLoad(after).Wait()
		s.results = append(s.results, results...)

		var r reply
		Eventually(answer, harness.Deadline).Should(Receive(&r))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(strconv.Itoa(r.status) + r.code).To(Equal("200"))
		Expect(bytes.Equal(r.body, body)).To(BeTrue(), "%d of %d bytes", len(r.body), len(body))
		for _, line := range s.upstreams[at].Calls() {
			Expect(line.Event == "began" && line.Began.After(since.Add(drainBound+schedulingSlack))).
				To(BeFalse(), "began %v after the leave: %+v", line.Began.Sub(since), line)
		}
		if p := left(s, at); p != nil {
			Expect(p.ExitCode()).To(BeZero())
		}
		s.expectTrue()
		account := s.account(results)
		Expect(account.Answered + account.Refused).To(Equal(after.Calls))
		Expect(s.account(s.results).Unanswered(nil)).To(BeEmpty())
	},
	Entry("when its owner node gets SIGTERM",
		func(s *system, at int) { s.owners[at].Terminate() },
		func(s *system, at int) *harness.Process { return s.owners[at].Process }),
	Entry("when its upstream gets SIGTERM",
		func(s *system, at int) { s.upstreams[at].Terminate() },
		func(s *system, at int) *harness.Process { return s.upstreams[at].Process }),
	Entry("when an operator drains its node",
		func(s *system, at int) {
			status, body := s.SendOperatorRequest(s.entry, "POST", "/v1/drain", fmt.Sprintf(`{"node":%q}`, s.owners[at].Name))
			Expect(status).To(Equal(http.StatusOK), body)
		},
		func(*system, int) *harness.Process { return nil }),
)
