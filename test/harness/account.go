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

// Account compares the results that the callers of a load received with the
// upstreams' journals.
type Account struct {
	Calls       int
	Answered    int
	Refused     int            // no connection to the entry node
	Broken      []Result       // the connection to the entry node broke
	Codes       map[int]int    // number of calls by result code
	Classes     map[Class]int  // number of answered calls by class
	Violations  []string       // calls with a false or missing result
	beganByPath map[string]int // by path
	beganByKey  map[string]int // by key
}

// NewAccount checks each result against the journals of all upstreams.
func NewAccount(results []Result, journals ...[]standin.Call) *Account {
	a := &Account{
		Calls: len(results), Codes: map[int]int{}, Classes: map[Class]int{},
		beganByPath: map[string]int{}, beganByKey: map[string]int{},
	}
	for _, journal := range journals {
		for _, line := range journal {
			if line.Event != "began" {
				continue
			}
			a.beganByPath[line.Path]++
			if line.Key != "" {
				a.beganByKey[line.Key]++
			}
		}
	}
	for i := range results {
		a.check(&results[i])
	}
	return a
}

func (a *Account) addViolation(r *Result, format string, args ...any) {
	a.Violations = append(a.Violations, fmt.Sprintf("%s %s through %s (status %d, code %d, %v): ",
		r.Method, r.Path, r.Entry.Name, r.Status, r.Code, r.Err)+fmt.Sprintf(format, args...))
}

func (a *Account) check(r *Result) {
	if n := max(a.beganByPath[r.Path], a.beganByKey[r.Key]); r.Class == Once && n > 1 {
		a.addViolation(r, "the once call began %d times", n)
	}
	switch {
	case r.TimedOut():
		a.addViolation(r, "no result")
	case r.Refused():
		a.Refused++
		a.expectNotRun(r)
	case r.Err != nil:
		a.Broken = append(a.Broken, *r)
	case r.Code != 0:
		a.Codes[r.Code]++
		a.checkCode(r)
	case r.Status != http.StatusOK:
		a.addViolation(r, "neither a response of the upstream nor a result code")
	default:
		a.Answered++
		a.Classes[r.Class]++
		a.checkResponse(r)
	}
}

func (a *Account) checkResponse(r *Result) {
	if !r.EchoMatches {
		a.addViolation(r, "the response is not the echo of the request")
	}
	if a.beganByPath[r.Path] == 0 {
		a.addViolation(r, "answered, but no upstream began it")
	}
}

func (a *Account) checkCode(r *Result) {
	code := result.ByNumber(r.Code)
	switch {
	case code.Number != r.Code:
		a.addViolation(r, "unknown code")
	case code.Status != r.Status:
		a.addViolation(r, "the status of %s is %d", code.Name, code.Status)
	case code.Ran == result.NotRun:
		a.expectNotRun(r)
	case code.Ran == result.DidRun && a.beganByPath[r.Path] == 0:
		a.addViolation(r, "%s, but no upstream began it", code.Name)
	case code.Ran == result.NotACall:
		a.addViolation(r, "%s is not a result of a call", code.Name)
	}
}

func (a *Account) expectNotRun(r *Result) {
	if n := a.beganByPath[r.Path]; n > 0 {
		a.addViolation(r, "reported as not run, but it began %d times", n)
	}
}

// Unanswered returns the calls whose connection broke before the response began,
// except those through one entry node. A connection that breaks during a response
// shows the caller that the response is incomplete.
func (a *Account) Unanswered(except *Node) []Result {
	return slices.DeleteFunc(slices.Clone(a.Broken), func(r Result) bool { return r.Entry == except || r.Status != 0 })
}

// String summarises the account for the test log.
func (a *Account) String() string {
	var codes []string
	for _, number := range slices.Sorted(maps.Keys(a.Codes)) {
		codes = append(codes, fmt.Sprintf("%s=%d", result.ByNumber(number).Name, a.Codes[number]))
	}
	for _, r := range a.Broken[:min(len(a.Broken), 3)] {
		codes = append(codes, fmt.Sprintf("(%s %s status %d: %v)", r.Method, r.Path, r.Status, r.Err))
	}
	return fmt.Sprintf("calls=%d answered=%d refused=%d broken=%d %s violations=%d",
		a.Calls, a.Answered, a.Refused, len(a.Broken), strings.Join(codes, " "), len(a.Violations))
}
