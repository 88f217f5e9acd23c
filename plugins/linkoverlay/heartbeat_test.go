package linkoverlay

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/port"
	"teaselring/wire"
)

// Without HeadAge every node that is no head reader reads the head from the
// platform itself; with the age for another version it would wrongly treat its own
// version as current.
var _ = DescribeTable("the age of the head's confirmation in a heartbeat",
	func(status *port.ConfigStatus, age uint32) {
		now := time.UnixMilli(10_000)
		h := newHeartbeat(3, &wire.Hello{InForce: 7, ViewDigest: 9}, status, now)
		Expect(h).To(Equal(wire.Heartbeat{Sequence: 3, InForce: 7, ViewDigest: 9, HeadAge: age}))
	},
	Entry("of the version in force", &port.ConfigStatus{InForce: 7, HeadConfirmed: time.UnixMilli(9_200)}, uint32(800)),
	Entry("confirmed just now", &port.ConfigStatus{InForce: 7, HeadConfirmed: time.UnixMilli(10_000)}, uint32(1)),
	Entry("of another version", &port.ConfigStatus{InForce: 8, HeadConfirmed: time.UnixMilli(9_200)}, uint32(0)),
	Entry("never confirmed", &port.ConfigStatus{InForce: 7}, uint32(0)),
	Entry("without a config duty", nil, uint32(0)),
)
