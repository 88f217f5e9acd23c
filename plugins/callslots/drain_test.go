package callslots

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/kernel"
	"teaselring/port"
)

// Guards against a grace above the platform's bound: a draining server got calls for
// the default 3 s, while the platform allows 2 s after the acknowledgement.
var _ = DescribeTable("the time for which a draining upstream gets calls",
	func(platformSettings *port.PlatformSettings, want time.Duration) {
		s := &Settings{DrainGrace: kernel.Span(3 * time.Second)}
		Expect(drainGrace(s, platformSettings)).To(Equal(want))
	},
	Entry("without a platform is the configured grace", nil, 3*time.Second),
	Entry("is half of the platform's bound", &port.PlatformSettings{DrainTime: 2 * time.Second}, time.Second),
	Entry("is not extended by a long bound", &port.PlatformSettings{DrainTime: time.Minute}, 3*time.Second),
)
