package suite

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// Covers the routine tasks of an operator with teaselctl.
var _ = Describe("teaselctl", func() {
	It("applies, compares, moves, drains and reads the audit trail through any node", func() {
		c := harness.NewCluster(harness.New(GinkgoT()), 2, "n0", "n1")
		c.Start()
		c.WaitListening()
		c.H.StartUpstream("u0", "stock", "v1", c.Nodes[0].Announce)
		c.H.StartUpstream("u1", "stock", "v2", c.Nodes[1].Announce)
		file := filepath.Join(c.H.Dir(), "records.toml")
		writeRecords := func(text string) { Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed()) }
		mustRun := func(n *harness.Node, args ...string) string {
			GinkgoHelper()
			code, out, errOut := c.RunTeaselctl(n, args...)
			Expect(code).To(Equal(0), "%v: %s%s", args, out, errOut)
			return out
		}
		n0, n1 := c.Nodes[0], c.Nodes[1]

		c.H.WaitUntil("n0 to list n1", func() error {
			if _, out, _ := c.RunTeaselctl(n0, "status"); !strings.Contains(out, "n1") {
				return errors.New(out)
			}
			return nil
		})

		By("applying and changing records")
		writeRecords(records)
		mustRun(n0, "validate", "-f", file)
		mustRun(n0, "apply", "-f", file, "--publication", "first", "--wait")
		mustRun(n1, "apply", "-f", file, "--publication", "first")
		writeRecords(strings.Replace(records, "queue = 16", "queue = 8", 1))
		mustRun(n1, "apply", "-f", file, "--wait")
		Expect(mustRun(n0, "get")).To(ContainSubstring("queue = 8"))
		Expect(mustRun(n0, "diff", "--from", "1", "--to", "2")).To(ContainSubstring("queue"))

		By("refusing bad input before anything is written")
		writeRecords(strings.Replace(records, `service = "stock"`, `service = "stcok"`, 1))
		code, out, errOut := c.RunTeaselctl(n0, "apply", "-f", file)
		Expect(code).To(Equal(1), out+errOut)
		Expect(out + errOut).To(And(ContainSubstring("2002"), ContainSubstring("stcok")))
		code, out, errOut = c.RunTeaselctl(n0, "move", "start", "--service", "stock", "--old", "v1", "--new", "v9", "--target", "10m")
		Expect(code).To(Equal(1), out+errOut)
		Expect(out + errOut).To(ContainSubstring("3001"))

		By("starting a move and taking it back")
		started := mustRun(n0, "move", "start", "--id", "m1", "--service", "stock", "--old", "v1", "--new", "v2", "--target", "10m")
		Expect(started).To(ContainSubstring("m1"))
		Expect(mustRun(n1, "move", "list")).To(ContainSubstring("m1"))
		mustRun(n1, "move", "take-back", "m1", "--why", "test")
		code, out, errOut = c.RunTeaselctl(n0, "move", "watch", "m1", "--timeout", "30s")
		Expect(code).To(Equal(5), out+errOut)

		By("reading the status and the audit trail")
		status := mustRun(n1, "status")
		Expect(status).To(And(ContainSubstring("n0"), ContainSubstring("n1")))
		Expect(mustRun(n0, "audit", "--stream", "config")).To(ContainSubstring("publish"))
		Expect(mustRun(n1, "audit", "--stream", "move/m1")).To(ContainSubstring("taken back by"))

		By("draining an upstream through the other node")
		mustRun(n0, "drain", "n1")
		c.H.WaitUntil("n1 to be draining", func() error {
			_, out, _ := c.RunTeaselctl(n0, "status")
			if !strings.Contains(out, "draining") {
				return errors.New(out)
			}
			return nil
		})
	})
})
