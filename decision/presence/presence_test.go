package presence

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPresence(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "presence")
}

var known = State{Instance: "i", Born: 100, Sequence: 5}

// An announcement that was held up must not bring a server back that has left,
// nor replace one that has started since.
var _ = DescribeTable("an announcement",
	func(s State, a Announcement, want State) {
		got, counts := Next(s, a)
		Expect(got).To(Equal(want))
		Expect(counts).To(Equal(got != s))
	},
	Entry("is the first", State{}, Announcement{Instance: "i", Born: 100, Sequence: 1}, State{Instance: "i", Born: 100, Sequence: 1}),
	Entry("is the next", known, Announcement{Instance: "i", Born: 100, Sequence: 6}, State{Instance: "i", Born: 100, Sequence: 6}),
	Entry("comes late", known, Announcement{Instance: "i", Born: 100, Sequence: 4, Leaving: true}, known),
	Entry("comes twice", known, Announcement{Instance: "i", Born: 100, Sequence: 5}, known),
	Entry("is of an earlier start", known, Announcement{Instance: "h", Born: 90, Sequence: 50}, known),
	Entry("is of a restart under the same id, whose count starts anew", known, Announcement{Instance: "i", Born: 200, Sequence: 1}, State{Instance: "i", Born: 200, Sequence: 1}),
	Entry("says that the server drains", known, Announcement{Instance: "i", Born: 100, Sequence: 6, Leaving: true}, State{Instance: "i", Born: 100, Sequence: 6, Leaving: true}),
	Entry("says ready after it drained", State{Instance: "i", Born: 100, Sequence: 6, Leaving: true}, Announcement{Instance: "i", Born: 100, Sequence: 7}, State{Instance: "i", Born: 100, Sequence: 7, Leaving: true}),
	Entry("is a notice of leaving without a start", known, Announcement{Instance: "i", Final: true}, State{Instance: "i", Born: 100, Sequence: 5, Leaving: true}),
	Entry("is a notice of leaving of an earlier start", known, Announcement{Instance: "i", Born: 90, Final: true}, known),
	Entry("is a notice of leaving of another server", known, Announcement{Instance: "h", Final: true}, known),
	Entry("lacks its start although that is known", known, Announcement{Instance: "i", Sequence: 9}, known),
)
