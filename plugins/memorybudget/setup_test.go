package memorybudget

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"teaselring/decision/budget"
	"teaselring/kernel"
	"teaselring/port"
)

// Guards against a line for each refusal while a crowd is refused, and against none.
func TestReport(t *testing.T) {
	g := NewWithT(t)
	var lines bytes.Buffer
	b := port.NewBudget(budget.NewPlan(budget.Limits{}))
	d := newState(b, kernel.NewLogger(&lines), metrics.NewRegistry())
	door, now := b.Door(budget.Ready), time.Unix(0, 0)
	for range 20 {
		door.Refused.Add(3)
		now = now.Add(checkInterval)
		d.report(budget.Ready, door, now)
	}
	g.Expect(strings.Count(lines.String(), "begins to refuse")).To(Equal(1))
	g.Expect(lines.String()).NotTo(ContainSubstring("no longer"))
	d.report(budget.Ready, door, now.Add(calmTime))
	d.report(budget.Ready, door, now.Add(2*calmTime))
	g.Expect(strings.Count(lines.String(), "refuses no longer")).To(Equal(1))
	g.Expect(lines.String()).To(ContainSubstring(`"refused":60`))
	g.Expect(d.parts[budget.Ready].refused.Value()).To(Equal(int64(60)))
}
