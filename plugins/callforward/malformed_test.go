package callforward

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
	"teaselring/test/endless"
	"teaselring/test/malformed"
)

// okMessage is a whole response to any request.
const okMessage = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"

// expectMalformed checks that a message of an upstream is a failure that may have run on
// each hop, and that its connection is not used for the next call.
func expectMalformed(message string) {
	GinkgoHelper()
	for _, local := range []bool{true, false} {
		for _, class := range []string{"read", "once"} {
			address, connections := malformed.Serve(message)
			p := newPair(address).discardReports()
			target := p.remote()
			if local {
				target = p.local()
			}
			p.targets = []mesh.Target{target, target}
			for range 2 {
				response, body, err := send(p.request("POST", "/"+class+"/a", "body", nil))
				Expect(err).NotTo(HaveOccurred())
				Expect(response.StatusCode).To(Equal(http.StatusBadGateway), body)
				Expect(code(response)).To(Equal(result.UpstreamLost), body)
			}
			Expect(connections).To(HaveLen(2))
		}
	}
}

// Guards against a status that net/http reads but does not write: the caller's connection
// was broken off by a panic.
var _ = DescribeTable("a response whose status is not valid is a failure", expectMalformed,
	Entry("000 without a body", "HTTP/1.1 000 Zero\r\nContent-Length: 0\r\n\r\n"),
	Entry("000 with a body", "HTTP/1.1 000 Zero\r\nContent-Length: 4\r\n\r\nbody"),
	Entry("000 before a response", "HTTP/1.1 000 Zero\r\n\r\n"+okMessage),
	Entry("000 that says that the call did not run", "HTTP/1.1 000 Zero\r\n"+headerShed+": 1\r\nContent-Length: 0\r\n\r\n"),
	Entry("099", "HTTP/1.1 099 Low\r\n\r\n"+okMessage),
	Entry("+20", "HTTP/1.1 +20 OK\r\n\r\n"+okMessage),
	Entry("101, which was not asked for", "HTTP/1.1 101 Switching Protocols\r\n\r\n"+okMessage),
	Entry("000 after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Zero\r\n\r\n"+okMessage),
)

// Guards against field names that net/http keeps although they hold a blank.
var _ = DescribeTable("a response with a malformed field name is a failure", func(line string) {
	expectMalformed("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 0\r\n\r\n")
	expectMalformed("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 6\r\n\r\nserver")
	expectMalformed("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + okMessage)
	expectMalformed("HTTP/1.1 503 Busy\r\n" + headerShed + ": 1\r\n" + line + "\r\nContent-Length: 0\r\n\r\n")
},
	Entry("with a blank in it", "X Y: z"),
	Entry("with a blank at its end", "X : z"),
	Entry("with a blank at the end of a known name", "Content-Length : 3"),
	Entry("with a tab in it", "X\tY: z"),
	Entry("with a NUL in it", "X\x00Y: z"),
	Entry("with a parenthesis", "X(Y): z"),
	Entry("that is empty", ": z"),
)

// Guards against interim responses that are read without end: net/http leaves their number
// to a client that examines them.
var _ = Describe("an upstream that sends interim responses without end", func() {
	It("costs the call, which may have run", func() {
		address, closed := endless.Serve("", "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n")
		p := newPair(address)
		p.targets = []mesh.Target{p.local()}
		response, _, err := send(p.request("POST", "/once/a", "", nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(code(response)).To(Equal(result.UpstreamLost))
		Eventually(closed, "30s").Should(Receive())
	})
})
