package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	bodyLimit = 67108864 // BodyBytes of the configuration
	chunk     = 64 << 10
)

// upload is one chunked request of a client.
type upload struct {
	id     string
	bytes  int64
	hash   string // of the whole body
	status int    // 0: the connection ended without an answer
	signed bool
	text   string
}

// send sends a chunked body of the given length to the end, or until the node answers or
// closes the connection.
func (u *upload) send(n *node) {
	conn, err := net.Dial("tcp", n.outbound)
	if err != nil {
		u.text = err.Error()
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	answer := make(chan *http.Response, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			response = nil
		}
		answer <- response
	}()
	digest := sha256.New()
	out := bufio.NewWriterSize(conn, chunk)
	_, _ = fmt.Fprintf(out, "POST /upload/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Milliseconds: 10000\r\nTransfer-Encoding: chunked\r\n\r\n", u.id, host, u.id)
	part := make([]byte, chunk)
	for left := u.bytes; left > 0; {
		size := min(left, chunk)
		for i := range part[:size] {
			part[i] = byte(left>>4) + byte(i)
		}
		digest.Write(part[:size])
		_, _ = fmt.Fprintf(out, "%x\r\n", size)
		_, _ = out.Write(part[:size])
		_, _ = io.WriteString(out, "\r\n")
		left -= size
	}
	_, _ = io.WriteString(out, "0\r\n\r\n")
	_ = out.Flush()
	u.hash = hex.EncodeToString(digest.Sum(nil))
	if response := <-answer; response != nil {
		u.status, u.signed = response.StatusCode, response.Header.Get("Response-Signature") != ""
		body, err := io.ReadAll(io.LimitReader(response.Body, 200))
		u.text = string(body)
		if err != nil {
			u.text += " (" + err.Error() + ")"
		}
	}
}

// longBodies sends uploads in chunks. With the disruption some are longer than the limit
// of the configuration. UNASKED is broken if a server runs one with another body.
func longBodies(r *record, program, dir string, trouble bool) (bool, error) {
	m, err := newMesh(program, dir, 3, configuration(7, bodyLimit, nil, route("subida", "/upload/", "upload", 10, 5)), nil)
	if err != nil {
		return false, err
	}
	lengths := []int64{300, 60_000, 2 << 20, bodyLimit}
	if trouble {
		lengths = append(lengths, bodyLimit+5_000_000, 2*bodyLimit)
	}
	held := true
	for i, length := range lengths {
		u := &upload{id: "upload" + strconv.Itoa(i+1), bytes: length}
		r.line("client sends %s to %s: POST in chunks, %d bytes (limit %d)", u.id, m.nodes[i%3].name, u.bytes, int64(bodyLimit))
		u.send(m.nodes[i%3])
		r.line("  answer: status %d, signed %v: %.160q; hash sent %s", u.status, u.signed, u.text, u.hash)
		time.Sleep(300 * time.Millisecond)
		for _, s := range seen(m.servers) {
			if s.id != u.id {
				continue
			}
			r.line("  server %s got %d bytes, hash %s, whole request: %v", s.server, s.body, s.hash, s.complete)
			if s.complete && s.hash != u.hash {
				r.line("  UNASKED: the server ran the request with another body")
				held = false
			}
		}
		if length <= bodyLimit && u.status != http.StatusOK {
			return false, fmt.Errorf("an upload inside the limit was answered %d", u.status)
		}
	}
	return held, nil
}
