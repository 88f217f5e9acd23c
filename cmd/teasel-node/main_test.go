package main

import (
	"bytes"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/cmd/internal/nodecommand"
	"teaselring/kernel"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "teasel-node")
}

const sample = "../../docs/teasel-node.sample.toml"

func output(args ...string) string {
	c := nodecommand.New("teasel-node", "", "teasel-node.toml")
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetArgs(args)
	ExpectWithOffset(1, c.Execute()).To(Succeed())
	return out.String()
}

var _ = Describe("the settings", func() {
	It("match the published sample, so that operators see every default", func() {
		defaults := output("check-config", "--defaults")
		if os.Getenv("UPDATE_DOCS") != "" {
			Expect(os.WriteFile(sample, []byte(defaults), 0o644)).To(Succeed())
		}
		published, err := os.ReadFile(sample)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(published)).To(Equal(defaults))
	})

	DescribeTable("of both deployments are accepted", func(file string) {
		_, err := kernel.Load("../../docs/samples/" + file)
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("sock office", "sock-office.toml"),
		Entry("licence mesh", "licence-mesh.toml"),
	)
})

var _ = Describe("the inventory", func() {
	// A ring that does not exist would make the diagram of the design page and the
	// output of the command wrong.
	It("names only existing rings, apart from those of each link", func() {
		inventory, err := kernel.Inspect(kernel.Defaults())
		Expect(err).NotTo(HaveOccurred())
		rings := map[string]bool{"link.send": true}
		for _, r := range inventory.Rings {
			rings[r.Name] = true
		}
		for _, d := range inventory.Duties {
			for _, name := range append(d.In, d.Out...) {
				Expect(rings).To(HaveKey(name), "duty %s", d.Name)
			}
		}
	})
})
