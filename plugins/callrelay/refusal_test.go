package callrelay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/port"
	"teaselring/result"
	"teaselring/test/connections"
)

// A faulty server wrote an earlier refusal once more. Callers were told "not run" for
// requests that a server ran, or the request ran at a second server.
var _ = Describe("a response that says that the request did not run", func() {
	refusal := func(status int, id string) string {
		head := fmt.Sprintf("HTTP/1.1 %d Refused\r\nNot-Run: 1\r\nContent-Length: 0\r\n", status)
		if id != "" {
			head += "Id: " + id + "\r\n"
		}
		return head + "\r\n"
	}
	// slowServer responds to the first request of each connection with first, and to the
	// next at once with answer and later with the real response.
	slowServer := func(first, answer string) string {
		return connections.Serve(func(c net.Conn) {
			reader := bufio.NewReader(c)
			for _, response := range []string{first, answer} {
				if response == "" {
					continue
				}
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, response) // a long body is unread by then
				_, _ = io.Copy(io.Discard, r.Body)
			}
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(c, okResponse("1", "ran"))
			_, _ = reader.ReadByte() // until the node closes the connection
		})
	}
	for _, status := range []int{503, 429, 408, 421} {
		for _, kept := range []bool{false, true} {
			for _, size := range []int{4, 2 << 20} {
				call := func(id string) (response *port.Response, admitted int) {
					first := ""
					if kept {
						first = okResponse("1", "first")
					}
					address := slowServer(first, refusal(status, id))
					n := newNode(address, address, address, address)
					if kept {
						Expect(n.call("POST", "/once/x", "first").Status).To(Equal(200))
					}
					before := len(n.servers)
					response = n.call("POST", "/once/x", strings.Repeat("b", size))
					return response, before - len(n.servers)
				}
				context := fmt.Sprintf("status %d, on a kept connection %v, with a body of %d bytes", status, kept, size)
				It("is believed with the id of the request: "+context, func() {
					response, _ := call("1")
					Expect(response.Status).To(Equal(503))
				})
				It("is skipped with the id of another request: "+context, func() {
					response, admitted := call("0")
					Expect(response.Status).To(Equal(200), code(response))
					Expect(string(response.Buffered)).To(Equal("ran"))
					Expect(admitted).To(Equal(1))
				})
				It("is not believed without an id: "+context, func() {
					response, admitted := call("")
					Expect(response.Status).To(Equal(502))
					Expect(code(response)).To(Equal(strconv.Itoa(result.UpstreamLost.Number)))
					Expect(admitted).To(Equal(1), "a request that may have run is not sent again")
				})
			}
		}
	}
})

// A server's own header was taken for the refusal of its node, which the entry node
// believes: the request was sent to a second server, or its client told "not run".
var _ = Describe("a server that sends a header of the nodes", func() {
	It("gets it removed", func() {
		address, _ := server("HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\n" + port.CodeHeader + ": 1010\r\nTeasel-Other: x\r\nContent-Length: 2\r\n\r\nok")
		response := newNode(address).call(http.MethodPost, "/once/x", "b")
		Expect(response.Status).To(Equal(http.StatusOK))
		Expect(response.Header).NotTo(HaveKey(port.CodeHeader))
		Expect(response.Header).NotTo(HaveKey("Teasel-Other"))
	})
})
