package result

import (
	"errors"
	"fmt"
	"os"
	"testing"

	jujuerrors "github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestResult(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "result")
}

var _ = Describe("the table", func() {
	It("uses each number and name once, so that a code always means one thing", func() {
		numbers, names := map[int]bool{}, map[string]bool{}
		for _, c := range All() {
			Expect(numbers).NotTo(HaveKey(c.Number))
			Expect(names).NotTo(HaveKey(c.Name))
			numbers[c.Number], names[c.Name] = true, true
		}
	})

	It("advises an unconditional retry only for calls that did not run", func() {
		for _, c := range All() {
			if c.Ran == DidRun || c.Ran == MayHaveRun {
				Expect(c.Retry).NotTo(Equal(RetrySafe), c.Name)
			}
		}
	})

	It("matches docs/result-codes.md, so that the published table is current", func() {
		const path = "../docs/result-codes.md"
		if os.Getenv("UPDATE_DOCS") != "" {
			Expect(os.WriteFile(path, []byte(Markdown()), 0o644)).To(Succeed())
		}
		published, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(published)).To(Equal(Markdown()))
	})
})

var _ = DescribeTable("the code of an error",
	func(err error, code *Code) { Expect(Of(err)).To(Equal(code)) },
	Entry("nil", nil, OK),
	Entry("direct", Conflict.Err(), Conflict),
	Entry("wrapped with fmt", fmt.Errorf("apply: %w", Conflict.Err()), Conflict),
	Entry("annotated with juju/errors", jujuerrors.Annotate(Conflict.Err(), "apply"), Conflict),
	Entry("without a code", errors.New("disk full"), Internal),
)
