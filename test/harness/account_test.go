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

// The failure suite trusts this account. Each entry is a fault that it would
// miss, or an honest result that it would blame.
var _ = DescribeTable("the account of a load", func(class Class, r Result, began int, fault string) {
	r.Planned = Planned{Class: class, Method: "POST", Path: Prefixes[class] + "x", Entry: &Node{Process: &Process{Name: "n0"}}}
	line := standin.Call{Event: "began", Path: r.Path}
	if class == Once {
		r.Key, line.Key = "k", "k"
	}
	journals := [][]standin.Call{{{Event: "ended", Path: r.Path}, {Event: "shed", Path: r.Path}}}
	for range began {
		journals = append(journals, []standin.Call{line})
	}
	faults := NewAccount([]Result{r}, journals...).Faults
	if fault == "" {
		Expect(faults).To(BeEmpty())
	} else {
		Expect(faults).To(ConsistOf(ContainSubstring(fault)))
	}
},
	Entry("answered", Once, Result{Status: 200, Whole: true}, 1, ""),
	Entry("answered to a read that was retried", Read, Result{Status: 200, Whole: true}, 2, ""),
	Entry("answered to a once call that ran twice", Once, Result{Status: 200, Whole: true}, 2, "began 2 times"),
	Entry("answered with another's body", Read, Result{Status: 200}, 1, "not the echo"),
	Entry("answered by nobody", Read, Result{Status: 200, Whole: true}, 0, "no upstream began"),
	Entry("a true refusal", Read, told(result.QueueFull), 0, ""),
	Entry("an untrue refusal", Read, told(result.QueueFull), 1, "not run"),
	Entry("may have run", Once, told(result.ConnectionLost), 1, ""),
	Entry("may have run and did twice", Once, told(result.ConnectionLost), 2, "began 2 times"),
	Entry("already ran", Once, told(result.AlreadyRan), 1, ""),
	Entry("already ran, but nowhere", Once, told(result.AlreadyRan), 0, "no upstream began"),
	Entry("a code that answers no call", Read, told(result.Conflict), 0, "does not answer a call"),
	Entry("an unknown code", Read, Result{Status: 500, Code: 1999}, 0, "unknown code"),
	Entry("a code with another status", Read, Result{Status: 200, Code: result.QueueFull.Number}, 0, "status"),
	Entry("an error without a code", Read, Result{Status: 500}, 1, "neither"),
	Entry("no result", Read, Result{Err: os.ErrDeadlineExceeded}, 0, "no result"),
	Entry("a refused connection", Once, Result{Err: syscall.ECONNREFUSED}, 0, ""),
	Entry("a refused connection of a call that ran", Once, Result{Err: syscall.ECONNREFUSED}, 1, "not run"),
	Entry("a broken connection", Once, Result{Status: http.StatusOK, Err: errors.New("broken")}, 1, ""),
)

func told(code *result.Code) Result { return Result{Status: code.Status, Code: code.Number} }

var _ = Describe("a load", func() {
	It("is the same for a seed and names each call once", func() {
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
