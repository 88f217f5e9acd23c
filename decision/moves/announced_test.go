package moves

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
)

// On a busy machine a move was refused because the only node with the new version
// was suspected for a moment.
var _ = DescribeTable("a version counts as announced by a node that is",
	func(state mesh.NodeState, want bool) {
		view := &mesh.View{Members: []mesh.Member{{
			Node: "n", State: state, Endpoint: mesh.Endpoint{Service: "s", Version: "v2", State: mesh.EndpointReady},
		}}}
		Expect(announced(view, "s", "v2")).To(Equal(want))
	},
	Entry("alive", mesh.NodeAlive, true),
	Entry("suspected", mesh.NodeSuspect, true),
	Entry("dead", mesh.NodeDead, false),
	Entry("left", mesh.NodeLeft, false),
)
