package harness

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"teaselring/result"
	"teaselring/test/standin"
)

// Account compares what the callers of a load were told with what the
// upstreams journaled.
type Account struct {
	Calls    int
	Answered int
	Refused  int            // no connection to the entry node
	Broken   []Result       // the connection to the entry node broke
	Codes    map[int]int    // number of calls by result code
	Classes  map[Class]int  // number of answered calls by class
	Faults   []string       // calls whose result is untrue or absent
	began    map[string]int // by path
	keys     map[string]int // by key
}

// NewAccount checks each result against the journals of all upstreams.
func NewAccount(results []Result, journals ...[]standin.Call) *Account {
	a := &Account{
		Calls: len(results), Codes: map[int]int{}, Classes: map[Class]int{},
		began: map[string]int{}, keys: map[string]int{},
	}
	for _, journal := range journals {
		for _, line := range journal {
			if line.Event != "began" {
				continue
			}
			a.began[line.Path]++
			if line.Key != "" {
				a.keys[line.Key]++
			}
		}
	}
	for i := range results {
		a.check(&results[i])
	}
	return a
}

func (a *Account) fault(r *Result, format string, args ...any) {
	a.Faults = append(a.Faults, fmt.Sprintf("%s %s through %s (status %d, code %d, %v): ",
		r.Method, r.Path, r.Entry.Name, r.Status, r.Code, r.Err)+fmt.Sprintf(format, args...))
}

func (a *Account) check(r *Result) {
	if n := max(a.began[r.Path], a.keys[r.Key]); r.Class == Once && n > 1 {
		a.fault(r, "the once call began %d times", n)
	}
	switch {
	case r.TimedOut():
		a.fault(r, "no result")
	case r.Refused():
		a.Refused++
		a.expectNotRun(r)
	case r.Err != nil:
		a.Broken = append(a.Broken, *r)
	case r.Code != 0:
		a.Codes[r.Code]++
		a.checkCode(r)
	case r.Status != http.StatusOK:
		a.fault(r, "neither an answer of the upstream nor a result code")
	default:
		a.Answered++
		a.Classes[r.Class]++
		a.checkAnswer(r)
	}
}

func (a *Account) checkAnswer(r *Result) {
	if !r.Whole {
		a.fault(r, "the answer is not the echo of the request")
	}
	if a.began[r.Path] == 0 {
		a.fault(r, "answered, but no upstream began it")
	}
}

func (a *Account) checkCode(r *Result) {
	code := result.ByNumber(r.Code)
	switch {
	case code.Number != r.Code:
		a.fault(r, "unknown code")
	case code.Status != r.Status:
		a.fault(r, "the status of %s is %d", code.Name, code.Status)
	case code.Ran == result.NotRun:
		a.expectNotRun(r)
	case code.Ran == result.DidRun && a.began[r.Path] == 0:
		a.fault(r, "%s, but no upstream began it", code.Name)
	case code.Ran == result.NotACall:
		a.fault(r, "%s does not answer a call", code.Name)
	}
}

func (a *Account) expectNotRun(r *Result) {
	if n := a.began[r.Path]; n > 0 {
		a.fault(r, "told \"not run\", but it began %d times", n)
	}
}

// Unanswered returns the calls whose connection broke before an answer began,
// but for those through one entry node. A connection that breaks within an
// answer tells the caller that the answer is not whole.
func (a *Account) Unanswered(but *Node) []Result {
	return slices.DeleteFunc(slices.Clone(a.Broken), func(r Result) bool { return r.Entry == but || r.Status != 0 })
}

// String summarises the account for the log of a test.
func (a *Account) String() string {
	var codes []string
	for _, number := range slices.Sorted(maps.Keys(a.Codes)) {
		codes = append(codes, fmt.Sprintf("%s=%d", result.ByNumber(number).Name, a.Codes[number]))
	}
	for _, r := range a.Broken[:min(len(a.Broken), 3)] {
		codes = append(codes, fmt.Sprintf("(%s %s status %d: %v)", r.Method, r.Path, r.Status, r.Err))
	}
	return fmt.Sprintf("calls=%d answered=%d refused=%d broken=%d %s faults=%d",
		a.Calls, a.Answered, a.Refused, len(a.Broken), strings.Join(codes, " "), len(a.Faults))
}
