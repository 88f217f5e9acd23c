package harness

import (
	"errors"
	"net/http"
	"os"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/result"
	"teaselring/test/standin"
)

// The failure suite relies on this account. Each entry is a violation that it must
// detect or a correct result that it must accept.
var _ = DescribeTable("the account of a load", func(class Class, r Result, began int, violation string) {
	r.PlannedCall = PlannedCall{Class: class, Method: "POST", Path: PathPrefixes[class] + "x", Entry: &Node{Process: &Process{Name: "n0"}}}
	line := standin.Call{Event: "began", Path: r.Path}
	if class == Once {
		r.Key, line.Key = "k", "k"
	}
	journals := [][]standin.Call{{{Event: "ended", Path: r.Path}, {Event: "shed", Path: r.Path}}}
	for range began {
		journals = append(journals, []standin.Call{line})
	}
	violations := NewAccount([]Result{r}, journals...).Violations
	if violation == "" {
		Expect(violations).To(BeEmpty())
	} else {
		Expect(violations).To(ConsistOf(ContainSubstring(violation)))
	}
},
	Entry("answered", Once, Result{Status: 200, EchoMatches: true}, 1, ""),
	Entry("a read that was retried", Read, Result{Status: 200, EchoMatches: true}, 2, ""),
	Entry("a once call that ran twice", Once, Result{Status: 200, EchoMatches: true}, 2, "began 2 times"),
	Entry("a response with another call's body", Read, Result{Status: 200}, 1, "not the echo"),
	Entry("answered, but no upstream began the call", Read, Result{Status: 200, EchoMatches: true}, 0, "no upstream began"),
	Entry("a refused call that did not run", Read, withCode(result.QueueFull), 0, ""),
	Entry("a refused call that ran", Read, withCode(result.QueueFull), 1, "not run"),
	Entry("may have run", Once, withCode(result.ConnectionLost), 1, ""),
	Entry("may have run, and ran twice", Once, withCode(result.ConnectionLost), 2, "began 2 times"),
	Entry("already ran", Once, withCode(result.AlreadyRan), 1, ""),
	Entry("already ran, but no upstream began the call", Once, withCode(result.AlreadyRan), 0, "no upstream began"),
	Entry("a code that is not a result of a call", Read, withCode(result.Conflict), 0, "is not a result of a call"),
	Entry("an unknown code", Read, Result{Status: 500, Code: 1999}, 0, "unknown code"),
	Entry("a code with another status", Read, Result{Status: 200, Code: result.QueueFull.Number}, 0, "status"),
	Entry("an error without a code", Read, Result{Status: 500}, 1, "neither"),
	Entry("no result", Read, Result{Err: os.ErrDeadlineExceeded}, 0, "no result"),
	Entry("a refused connection", Once, Result{Err: syscall.ECONNREFUSED}, 0, ""),
	Entry("a refused connection of a call that ran", Once, Result{Err: syscall.ECONNREFUSED}, 1, "not run"),
	Entry("a broken connection", Once, Result{Status: http.StatusOK, Err: errors.New("broken")}, 1, ""),
)

func withCode(code *result.Code) Result { return Result{Status: code.Status, Code: code.Number} }

var _ = Describe("a load", func() {
	It("is the same for the same seed and gives each call its own path", func() {
		l := Load{Name: "l", Entries: []*Node{{}, {}}, Calls: 200, Seed: 7}
		plan := l.Plan()
		Expect(l.Plan()).To(Equal(plan))
		paths := map[string]bool{}
		for _, p := range plan {
			paths[p.Path] = true
			Expect(p.Key != "").To(Equal(p.Class == Once))
		}
		Expect(paths).To(HaveLen(200))
	})
})
