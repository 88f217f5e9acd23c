package callslots

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/kernel"
	"teaselring/port"
)

// A leaving server got calls for the product's 3 s although the platform's bound
// is 2 s from the acknowledgement.
var _ = DescribeTable("the time for which a draining upstream gets calls",
	func(site *port.Site, want time.Duration) {
		s := &Settings{DrainGrace: kernel.Span(3 * time.Second)}
		Expect(drainGrace(s, site)).To(Equal(want))
	},
	Entry("without a platform is that of the settings", nil, 3*time.Second),
	Entry("stays well within the platform's bound", &port.Site{Drain: 2 * time.Second}, time.Second),
	Entry("is not extended by a long bound", &port.Site{Drain: time.Minute}, 3*time.Second),
)
