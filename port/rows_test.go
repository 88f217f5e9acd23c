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

// A text that stays behind would tell other nodes that this one knows less.
var _ = Describe("the text of the revisions known", func() {
	It("follows the rows", func() {
		s := new(port.SeenText)
		first := replica.New().ApplyListing("op", nil, 3)
		first, _ = first.Merge([]replica.Row{{Table: "op", Key: "a", Revision: 4}})
		Expect(s.Of(first)).To(Equal("op=4"))
		Expect(s.Of(first)).To(Equal("op=4"))
		next, _ := first.Merge([]replica.Row{{Table: "op", Key: "a", Revision: 6}, {Table: "n", Key: "b", Revision: 5}})
		Expect(s.Of(next)).To(Equal("n=5,op=6"))
		Expect(port.ParseSeen(s.Of(next))).To(Equal(next.Seen()))
	})
})
