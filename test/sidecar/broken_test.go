package sidecar

import (
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// Guards against broken responses that reach the client as whole ones, or as refusals which
// promise that the request did not run.
var _ = Describe("clients of servers whose responses are broken", func() {
	It("get a failure over both hops", func() {
		const plays = 12
		h := harness.New(GinkgoTB())
		m := NewMesh(h, 2)
		DeferCleanup(m.Stop)
		body := strings.Repeat("x", 4<<20) // exceeds the buffers of the connections
		for name := range brokenResponses {
			reached := 0
			for i := range plays {
				machine := m.Machines[i%2]
				if m.expectFailure(machine, http.MethodPost, fmt.Sprintf("/once/%s%s.%d", brokenPrefix, name, i), body) {
					reached++
				}
				// Whole responses keep the servers in use.
				h.WaitUntil("a whole response", servesPath(machine, "/read/"))
			}
			Expect(reached).To(BeNumerically(">", 0), name)
		}
	})
})
