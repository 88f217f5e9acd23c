package sidecar

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// expectFailure sends a request whose response is broken. It checks that the client gets a
// failure that is true, and reports whether the request ran.
func (m *Mesh) expectFailure(machine *Machine, method, path, body string) (ran bool) {
	GinkgoHelper()
	runs := func() (n int64) {
		for _, machine := range m.Machines {
			n += machine.Server.RunCount()
		}
		return n
	}
	before := runs()
	a, err := machine.Call(method, path, body)
	ran = runs() > before
	switch {
	case err != nil: // the connection was closed, which promises nothing
	case a.Status == http.StatusBadGateway || a.Status == http.StatusGatewayTimeout:
	case a.Status == http.StatusServiceUnavailable && !ran:
	default:
		Fail(fmt.Sprintf("%s %s: status %d, body %q, ran: %v", method, path, a.Status, a.Body, ran))
	}
	return ran
}

// Guards against a response that ends within its head and reaches the client as a 200 that
// looks whole, or as a refusal that promises that the request did not run.
var _ = Describe("clients of servers that close within the head of a response", func() {
	It("get a failure over both hops, whatever byte was the last", func() {
		h := harness.New(GinkgoTB())
		m := NewMesh(h, 2)
		DeferCleanup(m.Stop)
		reached := 0
		length := len(cutHead(CallIDPrefix + "100"))
		for bytes := range length - len("100") { // ids differ in length
			machine := m.Machines[bytes%2]
			for method, path := range map[string]string{http.MethodGet: "/read/", http.MethodPost: "/once/"} {
				if m.expectFailure(machine, method, fmt.Sprintf("%s%s%d", path, cutPrefix, bytes), "") {
					reached++
				}
			}
			// Whole responses keep the servers in use.
			h.WaitUntil("a whole response", servesPath(machine, "/read/"))
		}
		Expect(reached).To(BeNumerically(">", length/2), "a server that fails is passed over now and then")
	})
})
