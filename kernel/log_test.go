package kernel

import (
	"bytes"
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Operators filter log lines by key, so the keys must not depend on the library.
var _ = Describe("a log line", func() {
	It("has stable keys, whatever its values contain", func() {
		var out bytes.Buffer
		NewLogger(&out).Info().Str("reason", `a,"message":"b`).Msg("moved")
		var line map[string]string
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line).To(HaveKeyWithValue("msg", "moved"))
		Expect(line).To(HaveKeyWithValue("reason", `a,"message":"b`))
		Expect(line).To(And(HaveKeyWithValue("level", "info"), HaveKey("time")))
	})
})
