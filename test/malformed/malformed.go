// Package malformed provides servers whose responses are broken in ways that net/http does not
// detect.
package malformed

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"teaselring/test/connections"
)

// Response returns a valid response with lines of fields, each with its line end.
func Response(status, fields, body string) string {
	return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// Variants returns malformed responses, by what is wrong with them, that are otherwise like
// Response("200 OK", fields, body).
func Variants(fields, body string) map[string]string {
	valid := Response("200 OK", fields, body)
	return map[string]string{
		"status 000":                 Response("000 Zero", fields, body),
		"status 099":                 Response("099 Low", fields, body),
		"status +20":                 Response("+20 OK", fields, body),
		"a response after a 000":     "HTTP/1.1 000 Zero\r\n\r\n" + valid,
		"a blank in a name":          Response("200 OK", fields+"X Y: z\r\n", body),
		"a blank after a name":       Response("200 OK", "Content-Length : 1\r\n"+fields, body),
		"a control byte in a name":   Response("200 OK", "X\x01Y: z\r\n"+fields, body),
		"a blank in an interim head": "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + valid,
	}
}

// Serve runs a server until the spec ends. It answers each request with the message, and
// accepted receives a value for each connection.
func Serve(message string) (address string, accepted chan struct{}) {
	accepted = make(chan struct{}, 16)
	return connections.Serve(func(conn net.Conn) {
		accepted <- struct{}{}
		respond(conn, message)
	}), accepted
}

// ServeReset runs a server until the spec ends. It answers the head of each request with a
// message and resets the connection while the client sends the body.
func ServeReset(message string) (address string) {
	return connections.Serve(func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, message)
			time.Sleep(5 * time.Millisecond) // the message is read before the reset
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
}

func respond(conn net.Conn, message string) {
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if _, err := io.WriteString(conn, message); err != nil {
			return
		}
	}
}

// Each checks that read accepts the valid response and refuses all variants of it. Read is
// called twice on each, and a refused response must cost its connection, which is tested
// where read keeps its client.
func Each(fields, body string, read func(address string) error) {
	ginkgo.GinkgoHelper()
	address, _ := Serve(Response("200 OK", fields, body))
	gomega.Expect(read(address)).To(gomega.Succeed())
	var wrong []string
	for what, message := range Variants(fields, body) {
		address, accepted := Serve(message)
		for range 2 {
			if read(address) == nil {
				wrong = append(wrong, what)
			}
		}
		if len(accepted) != 2 {
			wrong = append(wrong, what+", kept connection")
		}
	}
	slices.Sort(wrong)
	gomega.Expect(wrong).To(gomega.BeEmpty())
}
