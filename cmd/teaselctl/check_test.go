package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/decision/config"
	"teaselring/decision/configcheck"
	"teaselring/mesh"
	"teaselring/platform"
)

const checkedTOML = `
[[record]]
kind = "service"
id = "stock"
schema = 1
slots = 6
queue = 16

[[record]]
kind = "route"
id = "stock-read"
schema = 2
path_prefix = "/stock"
service = "stock"
class = "read"
timeout = "2s"
`

const checkedJSON = `{"Version":"r7","Services":[{"Name":"stock"}],"Routes":[
{"Name":"a","Host":"shop.example","Prefix":"/a/","Kind":"idempotent","TimeoutS":1,"TargetLatencyS":2,"Service":"stock","MaxAttempts":2}]}`

// Guards against a configuration that is sent although nodes refuse it or an entry in it
// has no effect, and against a script that can't tell the cases apart.
var _ = Describe("check", func() {
	write := func(name, content string) string {
		path := filepath.Join(GinkgoT().TempDir(), name)
		Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		return path
	}

	DescribeTable("exits with a code for each case",
		func(content string, want int, text string, args ...string) {
			code, stdout, stderr := invoke("", "", append([]string{"check", write("f", content)}, args...)...)
			Expect(code).To(Equal(want), stderr)
			Expect(stdout).To(ContainSubstring(text))
		},
		Entry("records without findings", checkedTOML, exitOK, "nothing found"),
		Entry("records that nodes refuse", checkedTOML+"queue = 16", exitInvalid, `route "stock-read", field "queue"`),
		Entry("the platform's format with a finding", checkedJSON, exitDoubtful, "latency target"),
		Entry("the platform's format that nodes refuse", `{"Version":"7"}`, exitInvalid, "version"),
		Entry("more attempts than upstreams", checkedJSON, exitDoubtful, "attempts", "--upstreams", "stock=1:6"),
		Entry("an odd flag", checkedTOML, exitUsage, "", "--upstreams", "stock=x"),
	)

	It("compares with the version in force, as JSON", func() {
		code, stdout, _ := invoke("", "", "check", write("new", checkedJSON), "--in-force", write("old", checkedTOML), "-o", "json")
		Expect(code).To(Equal(exitDoubtful))
		var got checked
		Expect(json.Unmarshal([]byte(stdout), &got)).To(Succeed())
		Expect(got.Changes).To(ContainElement(configcheck.Change{Entry: `route "a"`, Added: true}))
		Expect(got.Changes).To(ContainElement(configcheck.Change{Entry: `route "stock-read"`}))
	})

	It("says when a file is missing", func() {
		code, _, stderr := invoke("", "", "check", "missing.toml")
		Expect(code).To(Equal(exitUsage))
		Expect(stderr).To(ContainSubstring("missing.toml"))
	})
})

// FuzzCheck guards against a configuration that the check passes and a node refuses, and
// against a panic in the check.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(checkedTOML))
	f.Add([]byte(checkedJSON))
	f.Add([]byte(`{"Version":"r1","Routes":[{"Name":"a","Host":"h","Prefix":"/","TimeoutS":"1"}],"Tenants":[{"Name":"t","PerS":5}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		if s, err := platform.DecodeConfiguration(content); err == nil {
			configcheck.Check(s, configcheck.Mesh{Upstreams: map[mesh.ServiceID]configcheck.Capacity{}})
			if changes := configcheck.Diff(s, s); len(changes) > 0 {
				t.Fatalf("a configuration differs from itself: %+v", changes)
			}
		}
		records, err := config.Parse(content)
		if err != nil {
			return
		}
		s, err := config.Build(1, records)
		if err != nil {
			return
		}
		configcheck.Check(s, configcheck.Mesh{})
		merged, _, err := config.Merge(nil, nil, config.Edit{Records: records})
		if err != nil {
			t.Fatalf("passed, but a node does not publish it: %v", err)
		}
		if _, err := config.BuildExpected(1, s.Digest, merged); err != nil {
			t.Fatalf("passed, but a node does not take it: %v", err)
		}
	})
}
