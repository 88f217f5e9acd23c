package port_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/decision/replica"
	"teaselring/port"
)

func TestPort(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "port")
}

// A stale cached text would advertise older revisions than the node knows.
var _ = Describe("the cached text of known revisions", func() {
	It("is updated when the rows change", func() {
		s := new(port.SeenCache)
		first := replica.New().ApplyListing("op", nil, 3)
		first, _ = first.Merge([]replica.Row{{Table: "op", Key: "a", Revision: 4}})
		Expect(s.Format(first)).To(Equal("op=4"))
		Expect(s.Format(first)).To(Equal("op=4"))
		next, _ := first.Merge([]replica.Row{{Table: "op", Key: "a", Revision: 6}, {Table: "n", Key: "b", Revision: 5}})
		Expect(s.Format(next)).To(Equal("n=5,op=6"))
		Expect(port.ParseSeen(s.Format(next))).To(Equal(next.Seen()))
	})
})
