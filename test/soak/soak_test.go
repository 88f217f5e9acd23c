package soak

import (
	"flag"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

var (
	flagSeed     = flag.Uint64("soak-seed", 0, "run only this seed")
	flagSeeds    = flag.Uint64("soak-seeds", 0, "run the seeds from 1 to this number")
	flagMinutes  = flag.Float64("soak-minutes", 0, "run random seeds for this many minutes")
	flagMachines = flag.Int("soak-machines", 6, "number of machines in the fleet")
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

var _ = AfterSuite(harness.RemoveBinaries)

// runSeed runs a seed and fails the spec with its violations, if there are any.
func runSeed(seed uint64) {
	GinkgoHelper()
	h := harness.New(GinkgoTB())
	start := time.Now()
	violations := Run(h, seed, *flagMachines, func(format string, args ...any) {
		GinkgoWriter.Printf("%6.3f s  "+format+"\n", append([]any{time.Since(start).Seconds()}, args...)...)
	})
	Expect(violations).To(BeEmpty(), "seed %d with %d machines\n%s", seed, *flagMachines, strings.Join(violations, "\n"))
}

// regressionSeeds are the seeds that have failed, each with the cause.
var regressionSeeds = []TableEntry{
	Entry("46: a move that started during an outage of the store treated its target as the version in use, and the move to the bad version was completed", uint64(46)),
	Entry("25: a stopping node forwarded a request that arrived between its last check for calls in progress and its exit", uint64(25)),
	Entry("28: a node that knew only its own server, of the target, began a move with the target as the version in use, and the move to the bad version was completed", uint64(28)),
}

var _ = Describe("a fleet under faults violates no rule", func() {
	switch {
	case *flagSeed != 0:
		It("with the given seed", func() { runSeed(*flagSeed) })
	case *flagSeeds != 0:
		for seed := range *flagSeeds {
			It("with a numbered seed", func() { runSeed(seed + 1) })
		}
	case *flagMinutes != 0:
		It("with random seeds", func() {
			for end := time.Now().Add(time.Duration(*flagMinutes * float64(time.Minute))); time.Now().Before(end); {
				runSeed(rand.Uint64())
			}
		})
	default:
		It("with the seed of CI", func() { runSeed(1) })
		DescribeTable("with the seeds of earlier failures", runSeed, regressionSeeds)
	}
})
