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
	// drainBound is the time after which a draining upstream gets no new calls
	// (design page, section 8).
	drainBound = 3 * time.Second
	// schedulingSlack is the time by which a call that was admitted in time may
	// begin late on a busy machine.
	schedulingSlack = 500 * time.Millisecond
)

// slowUpload starts an upload that takes about 6 s and returns its body and the
// channel that receives the reply. It reuses connections as callers do.
func slowUpload(n *harness.Node, path string) (body []byte, received <-chan reply) {
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
	replies := make(chan reply, 1)
	go func() {
		request, _ := http.NewRequest("POST", "http://"+n.Callers+path, reader)
		response, err := httpClient.Do(request)
		if err != nil {
			replies <- reply{err: err}
			return
		}
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		replies <- reply{status: response.StatusCode, code: response.Header.Get("Teasel-Code"), body: content, err: err}
	}()
	return bytes.Repeat(piece, pieces), replies
}

// awaitStart waits until an upstream begins the call of a path and returns the
// index of that upstream.
func (s *system) awaitStart(path string) int {
	GinkgoHelper()
	index := 0
	s.H.WaitUntil(path+" to begin", func() error {
		for index = range s.upstreams {
			if s.upstreams[index].CountBegan(func(c standin.Call) bool { return c.Path == path }) > 0 {
				return nil
			}
		}
		return fmt.Errorf("no upstream began it")
	})
	return index
}

// Guards against a graceful shutdown that interrupts calls, and against new calls
// that keep reaching a draining upstream.
var _ = DescribeTable("a slow upload completes, and no new work arrives after 3 s,",
	func(startDrain func(*system, int), exiting func(*system, int) *harness.Process) {
		s := newSystem(3)
		body, received := slowUpload(s.entry, "/upload/slow")
		index := s.awaitStart("/upload/slow")
		var drainStart time.Time
		s.runUnderLoad(func(r *harness.RunningLoad) {
			r.WaitStarted(loadCalls() / 5)
			drainStart = time.Now()
			startDrain(s, index)
		})
		time.Sleep(time.Until(drainStart.Add(drainBound)))
		followUp := s.load(100, 0.4)
		results := s.H.StartLoad(followUp).Wait()
		s.results = append(s.results, results...)

		var r reply
		Eventually(received, harness.Deadline).Should(Receive(&r))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(strconv.Itoa(r.status) + r.code).To(Equal("200"))
		Expect(bytes.Equal(r.body, body)).To(BeTrue(), "%d of %d bytes", len(r.body), len(body))
		for _, line := range s.upstreams[index].Calls() {
			Expect(line.Event == "began" && line.Began.After(drainStart.Add(drainBound+schedulingSlack))).
				To(BeFalse(), "began %v after the start of the drain: %+v", line.Began.Sub(drainStart), line)
		}
		if p := exiting(s, index); p != nil {
			Expect(p.ExitCode()).To(BeZero())
		}
		s.expectNoFaults()
		account := s.account(results)
		Expect(account.Answered + account.Refused).To(Equal(followUp.Calls))
		Expect(s.account(s.results).Unanswered(nil)).To(BeEmpty())
	},
	Entry("when its owner node gets SIGTERM",
		func(s *system, index int) { s.owners[index].Terminate() },
		func(s *system, index int) *harness.Process { return s.owners[index].Process }),
	Entry("when its upstream gets SIGTERM",
		func(s *system, index int) { s.upstreams[index].Terminate() },
		func(s *system, index int) *harness.Process { return s.upstreams[index].Process }),
	Entry("when an operator drains its node",
		func(s *system, index int) {
			status, body := s.SendOperatorRequest(s.entry, "POST", "/v1/drain", fmt.Sprintf(`{"node":%q}`, s.owners[index].Name))
			Expect(status).To(Equal(http.StatusOK), body)
		},
		func(*system, int) *harness.Process { return nil }),
)
