package callrelay

import (
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/result"
)

// expectMalformed checks that a message is a failure on each hop, on new and kept
// connections, and that nothing of its connection is used for the next call.
func expectMalformed(message string) {
	GinkgoHelper()
	for _, remote := range []bool{false, true} {
		for _, kept := range []bool{false, true} {
			for _, class := range []string{"read", "once"} {
				script := []string{message, okResponse("1", "next")}
				if kept {
					script = append([]string{okResponse("1", "first")}, script...)
				}
				address, _ := server(script...)
				n, want := newNode(address, address, address), result.UpstreamLost
				if remote {
					n, want = newNode().toPeer(address), result.ConnectionLost
				}
				if kept {
					Expect(n.call(http.MethodGet, "/read/x", "").Status).To(Equal(http.StatusOK))
					Eventually(n.entry.Outcomes.C()).Should(Receive())
				}
				expectFailure(n.call(http.MethodPost, "/"+class+"/x", "body"), message, want)
				n.expectUnusedAndReported(address, want)
				Expect(string(n.call(http.MethodGet, "/read/x", "").Buffered)).To(Equal("next"))
			}
		}
	}
}

// Guards against a status below 100 that is skipped like that of an interim response. What
// followed its head, its own body included, was read as the next head.
var _ = DescribeTable("a response whose status is not valid is a failure", expectMalformed,
	Entry("000 without a body", "HTTP/1.1 000 \r\nId: 1\r\nProof: p\r\nContent-Length: 0\r\n\r\n"),
	Entry("000 with a body that looks like a response", "HTTP/1.1 000 Zero\r\nId: 1\r\nProof: p\r\nContent-Length: 64\r\n\r\n"+okResponse("1", "forged")),
	Entry("000 before a response", "HTTP/1.1 000 Zero\r\n\r\n"+okResponse("1", "late")),
	Entry("000 that says that the request did not run", "HTTP/1.1 000 Zero\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"+okResponse("1", "late")),
	Entry("001", "HTTP/1.1 001 One\r\n\r\n"+okResponse("1", "late")),
	Entry("099", "HTTP/1.1 099 Low\r\n\r\n"+okResponse("1", "late")),
	Entry("+20", "HTTP/1.1 +20 OK\r\n\r\n"+okResponse("1", "late")),
	Entry("-01", "HTTP/1.1 -01 Low\r\n\r\n"+okResponse("1", "late")),
	Entry("of two digits", "HTTP/1.1 20 OK\r\n\r\n"+okResponse("1", "late")),
	Entry("of four digits", "HTTP/1.1 0200 OK\r\n\r\n"+okResponse("1", "late")),
	Entry("that is no number", "HTTP/1.1 2x0 OK\r\n\r\n"+okResponse("1", "late")),
	Entry("that is missing", "HTTP/1.1\r\n\r\n"+okResponse("1", "late")),
	Entry("000 after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Zero\r\n\r\n"+okResponse("1", "late")),
)

// Guards against a status below 100 whose server is beside another node.
var _ = DescribeTable("a malformed response passes no second hop", func(message string) {
	address, _ := server(message)
	owner := httptest.NewServer(newNode(address).entry.owner)
	DeferCleanup(owner.Close)
	n := newNode().toPeer(owner.Listener.Addr().String())
	expectFailure(n.call(http.MethodPost, "/once/x", "body"), message, result.UpstreamLost)
	Expect(n.entry.Outcomes.C()).To(Receive(HaveField("Outcome.Code", result.UpstreamLost.Number)))
},
	Entry("with status 000", "HTTP/1.1 000 Zero\r\nId: 1\r\nProof: p\r\nContent-Length: 64\r\n\r\n"+okResponse("1", strings.Repeat("f", 64))),
)

// Guards against field names that net/http keeps although they hold a blank. Another parser
// may read such a line as a field with another name, such as a length.
var _ = DescribeTable("a response with a malformed field name is a failure", func(line string) {
	body := "Content-Length: 6\r\n\r\nserver"
	expectMalformed(okHead + line + "\r\n" + body)
	expectMalformed("HTTP/1.1 200 OK\r\n" + line + "\r\nId: 1\r\nProof: p\r\n" + body)
	expectMalformed("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + okResponse("1", "server"))
	expectMalformed("HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\n" + line + "\r\nContent-Length: 0\r\n\r\n")
	expectMalformed("HTTP/1.1 421 Other\r\nId: 1\r\nServer: j\r\n" + line + "\r\nContent-Length: 0\r\n\r\n")
},
	Entry("with a blank in it", "X Y: z"),
	Entry("with a blank at its end", "X : z"),
	Entry("with a blank at the end of a known name", "Content-Length : 3"),
	Entry("with a blank at the end of the name of the proof", "Proof : q"),
	Entry("with a blank at the end of the id's", "Id : 1"),
	Entry("with a blank before a valid line", "X Y: z\r\nX-Y: z"),
	Entry("with a tab in it", "X\tY: z"),
	Entry("with a tab at its end", "X\t: z"),
	Entry("with a NUL in it", "X\x00Y: z"),
	Entry("with a carriage return in it", "X\rY: z"),
	Entry("with an escape character", "X\x1bY: z"),
	Entry("with DEL", "X\x7f: z"),
	Entry("with a byte above 127", "X\xe9: z"),
	Entry("with a parenthesis", "X(Y): z"),
	Entry("that is empty", ": z"),
	Entry("without a colon", "X"),
)

var _ = Describe("a response whose first field line begins with a blank", func() {
	It("is a failure", func() {
		expectMalformed("HTTP/1.1 200 OK\r\n X: z\r\nId: 1\r\nProof: p\r\nContent-Length: 6\r\n\r\nserver")
	})
})
