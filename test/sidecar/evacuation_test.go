package sidecar

import (
	"errors"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// Guards against requests at the servers of a zone that the operator has evacuated, from
// any node, also one that was restarted meanwhile, and against a zone that stays out of
// use after it is taken back.
var _ = Describe("the evacuation of a zone", func() {
	It("keeps requests from its servers until it is taken back", func() {
		h := harness.New(GinkgoTB())
		m := NewMeshWithOptions(h, Options{Machines: 4, Zones: 2})
		DeferCleanup(m.Stop)
		evacuated := []*Machine{m.Machines[0], m.Machines[2]} // of zone z0
		// runsInZone calls each node and returns the number of calls that ran in the zone.
		runsInZone := func() (int64, error) {
			runs := func() int64 { return evacuated[0].Server.RunCount() + evacuated[1].Server.RunCount() }
			before := runs()
			for range 10 {
				for _, machine := range m.Machines {
					a, err := machine.Call(http.MethodGet, "/read/x", "")
					if err != nil || a.Status != http.StatusOK {
						return 0, fmt.Errorf("%s: status %d, %w", machine, a.Status, err)
					}
				}
			}
			return runs() - before, nil
		}
		inUse := func(want bool) func() error {
			return func() error {
				n, err := runsInZone()
				if err == nil && (n > 0) != want {
					err = errors.New("the use of the zone has not changed")
				}
				return err
			}
		}
		h.WaitUntil("the zone to be in use", inUse(true))

		m.Store.Put("op", EvacuationKey("z0"), map[string]any{})
		h.WaitUntil("the zone to be empty", inUse(false))
		evacuated[0].Restart()
		h.WaitUntil("the restarted node to be ready", evacuated[0].Ready)
		Expect(runsInZone()).To(BeZero())

		m.Store.Remove("op", EvacuationKey("z0"))
		h.WaitUntil("the zone to be in use again", inUse(true))
	})
})
