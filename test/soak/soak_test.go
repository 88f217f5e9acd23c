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
	flagSeed     = flag.Uint64("soak-seed", 0, "play this seed alone")
	flagSeeds    = flag.Uint64("soak-seeds", 0, "play the seeds from 1 to this number")
	flagMinutes  = flag.Float64("soak-minutes", 0, "play fresh seeds for this many minutes")
	flagMachines = flag.Int("soak-machines", 6, "machines of the fleet")
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

var _ = AfterSuite(harness.RemoveBinaries)

// play fails the spec with the broken promises of a seed, if there are any.
func play(seed uint64) {
	GinkgoHelper()
	h := harness.New(GinkgoTB())
	begin := time.Now()
	found := Run(h, seed, *flagMachines, func(format string, args ...any) {
		GinkgoWriter.Printf("%6.3f s  "+format+"\n", append([]any{time.Since(begin).Seconds()}, args...)...)
	})
	Expect(found).To(BeEmpty(), "seed %d with %d machines\n%s", seed, *flagMachines, strings.Join(found, "\n"))
}

// failed are the seeds that ever failed, with the cause.
var failed = []TableEntry{
	Entry("46: a move began while the store was down, with its target for the version in use; the bad version was completed", uint64(46)),
	Entry("25: a stopping node passed on a request that came between its last look at the calls in progress and its end", uint64(25)),
}

var _ = Describe("a fleet under faults keeps its promises", func() {
	switch {
	case *flagSeed != 0:
		It("with the given seed", func() { play(*flagSeed) })
	case *flagSeeds != 0:
		for seed := range *flagSeeds {
			It("with a numbered seed", func() { play(seed + 1) })
		}
	case *flagMinutes != 0:
		It("with fresh seeds", func() {
			for end := time.Now().Add(time.Duration(*flagMinutes * float64(time.Minute))); time.Now().Before(end); {
				play(rand.Uint64())
			}
		})
	default:
		It("with the seed of CI", func() { play(1) })
		DescribeTable("with the seeds that failed before", play, failed)
	}
})
