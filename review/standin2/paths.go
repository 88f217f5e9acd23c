package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// getPath sends one GET for a path as it stands and returns the status and the server that
// answered.
func getPath(n *node, id, path string) (status int, signature string, err error) {
	conn, err := net.Dial("tcp", n.outbound)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Milliseconds: 1200\r\nConnection: close\r\n\r\n", path, host, id); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Response-Signature"), err
}

// selected returns the service of the longest prefix that begins a path; "": none.
func selected(services map[string]string, path string) (service string) {
	longest := 0
	for prefix, to := range services {
		if strings.HasPrefix(path, prefix) && len(prefix) > longest {
			service, longest = to, len(prefix)
		}
	}
	return service
}

// escapedPaths sends requests whose paths hold an escaped slash. ROUTE is broken if a
// service runs one to which the longest prefix of the path as it was sent doesn't lead.
func escapedPaths(r *record, program, dir string, trouble bool) (bool, error) {
	services := map[string]string{"/catalogo/": "vitrina", "/catalogo/cobro/": "caja"}
	var routes, declared []any
	for prefix, to := range services {
		one := route("r-"+to, prefix, "idempotent", 1.2, 0.5)
		one["Service"] = to
		routes = append(routes, one)
		declared = append(declared, map[string]any{"Name": to, "HealthPath": "/health", "ConnectionLimit": 130, "Protocol": "h1", "Tls": false})
	}
	c := configuration(7, bodyLimit, nil, routes...)
	c["Services"] = declared
	count := 0
	m, err := newMesh(program, dir, 4, c, func(s *server) {
		s.service = []string{"vitrina", "caja"}[count%2]
		count++
	})
	if err != nil {
		return false, err
	}
	paths := []string{"/catalogo/a", "/catalogo/cobro/a", "/catalogo/%41", "/otro/a", "/catalogo"}
	if trouble {
		paths = append(paths, "/catalogo%2Fa", "/catalogo/cobro%2Fa", "/catalogo%2Fcobro/a")
	}
	held := true
	for i, path := range paths {
		id := fmt.Sprintf("path%d", i+1)
		status, signature, err := getPath(m.nodes[i%len(m.nodes)], id, path)
		want := selected(services, path)
		r.line("GET %s: status %d, signature %q, %v; the prefixes lead to %q", path, status, signature, err, want)
		for j, s := range m.servers {
			for _, x := range seen(m.servers[j : j+1]) {
				if x.id != id {
					continue
				}
				r.line("  run by %s of %s, as %s", s.id, s.service, x.path)
				if s.service != want {
					r.line("  ROUTE: no configuration lets %s run it", s.service)
					held = false
				}
			}
		}
	}
	return held, nil
}
