package sidecar

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// brokenPrefix begins the last segment of the path of a request whose response is broken; one
// of brokenResponses follows, and the rest after a dot is ignored.
const brokenPrefix = "broken-"

// brokenResponses are responses that net/http reads without an error, by name. Each is sent
// while the request's body is still being written. All but the first are followed by a whole
// response.
var brokenResponses = map[string]string{
	"reset":       "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Signature: s\r\n\r\npart",
	"zero-status": "HTTP/1.1 000 Zero\r\nAttempt-Id: ID\r\nResponse-Signature: s\r\nContent-Length: 200\r\n\r\n",
	"blank-name":  "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Signature: s\r\nContent-Length : 9\r\nContent-Length: 4\r\n\r\npart",
	"interim":     "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n",
	"not-run":     "HTTP/1.1 503 Busy\r\nAttempt-Id: ID\r\nX Y: z\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
}

func breakResponse(w http.ResponseWriter, r *http.Request, name string) {
	name, _, _ = strings.Cut(name, ".")
	message := brokenResponses[name]
	if name != "reset" {
		message += "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nlate"
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(c, strings.ReplaceAll(message, "ID", r.Header.Get("Attempt-Id")))
	time.Sleep(5 * time.Millisecond) // the response is read before the reset
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
