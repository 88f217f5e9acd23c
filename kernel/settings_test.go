package kernel

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/fx"

	"teaselring/result"
)

type sampleSettings struct {
	Address netip.AddrPort `toml:"address"`
	Wait    Duration       `toml:"wait"`
	Count   int            `toml:"count"`
}

func (s *sampleSettings) Validate() error { return InRange("count", s.Count, 1, 10) }

func init() {
	Register(Plugin{
		Name: "sample.one",
		Settings: func() Validator {
			return &sampleSettings{Wait: Span(time.Second), Count: 3}
		},
		Module: func(Validator) fx.Option { return fx.Options() },
	})
}

// An invalid settings file must be refused with its line: a mistyped key that is
// ignored leaves a node running on an unintended default.
var _ = DescribeTable("an invalid settings file",
	func(content string, code *result.Code, line, mention string) {
		_, err := Parse("node.toml", []byte(content))
		Expect(err).To(HaveOccurred())
		Expect(result.Of(err)).To(Equal(code))
		Expect(err.Error()).To(ContainSubstring("node.toml:" + line))
		Expect(err.Error()).To(ContainSubstring(mention))
	},
	Entry("unknown key", "[sample.one]\nwiat = \"1s\"\n", result.SettingUnknown, "2", "wiat"),
	Entry("unknown table", "[sample.two]\ncount = 1\n", result.SettingUnknown, "1", "two"),
	Entry("wrong unit", "[sample.one]\ncount = 1\nwait = \"5 parsecs\"\n", result.SettingInvalid, "3", "number with a unit"),
	Entry("address that is not an IP", "[sample.one]\naddress = \"localhost:80\"\n", result.SettingInvalid, "2", "localhost"),
	Entry("out of range", "[sample.one]\n\ncount = 11\n", result.SettingInvalid, "3", "1 to 10"),
	Entry("not TOML", "[sample.one]\ncount = = 1\n", result.SettingSyntax, "2", ""),
)

var _ = Describe("a settings file", func() {
	It("overrides only the values that it contains", func() {
		s, err := Parse("node.toml", []byte("[sample.one]\ncount = 7\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.ForPlugin("sample.one")).To(Equal(&sampleSettings{Wait: Span(time.Second), Count: 7}))
	})
})

// FuzzParse searches for settings files that make the parser panic or return both
// or neither of settings and an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[sample.one]\naddress = \"127.0.0.1:80\"\nwait = \"1s\"\ncount = 2\n"))
	f.Add([]byte("[sample]\none.count = 99\n"))
	f.Add([]byte("[[sample.one]]\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, err := Parse("fuzz.toml", content)
		if (settings == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", settings, err)
		}
	})
}
