package soak

import (
	"bufio"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/malformed"
)

// Guards against a soak that takes a broken response for a whole one.
var _ = Describe("the check of a response", func() {
	const fields = "Attempt-Id: 1\r\nX-Path: /p\r\nResponse-Signature: s\r\n"
	judge := func(message string) string {
		k := &call{path: "/p"}
		c := &caller{fleet: &fleet{ledger: newLedger()}, reader: bufio.NewReader(strings.NewReader(message))}
		if err := c.readResponse("1", k, &http.Request{Method: http.MethodGet}, len("body")); err != nil {
			return err.Error()
		}
		return k.mismatch
	}

	It("accepts a whole response only", func() {
		Expect(judge(malformed.Response("200 OK", fields, "body"))).To(BeEmpty())
		for what, message := range malformed.Variants(fields, "body") {
			Expect(judge(message)).NotTo(BeEmpty(), what)
		}
		Expect(judge("HTTP/1.1 200 OK\r\n"+fields+"\r\nbody")).NotTo(BeEmpty(), "without a length")
	})
})
