package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// keyed is a request with a key and what became of it.
type keyed struct{ what, key string }

// send sends one GET with the key, none if it is empty, and returns the status.
func (k *keyed) send(n *node, id string) (status int, err error) {
	conn, err := net.Dial("tcp", n.outbound)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	header := ""
	if k.key != "" {
		header = "Key: " + k.key + "\r\n"
	}
	if _, err := fmt.Fprintf(conn, "GET /rates/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Milliseconds: 2500\r\n%sConnection: close\r\n\r\n", host, id, header); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// configApply is ConfigApplyS with a second more.
const configApply = 3 * time.Second

// lastKeys takes away all keys by a new version of the configuration. ROUTE is broken if a
// request runs whose key no configuration ever held, UNASKED if a server gets a key.
func lastKeys(r *record, program, dir string, trouble bool) (bool, error) {
	hotel := map[string]any{"Name": "hotel", "ApiKeys": []string{"key-of-hotel-1", "key-of-hotel-2"}, "Priority": 1, "PerS": 600, "Burst": 600}
	rates := route("rates", "/rates/", "idempotent", 3, 0.8)
	m, err := newMesh(program, dir, 3, configuration(1, bodyLimit, []any{hotel}, rates), nil)
	if err != nil {
		return false, err
	}
	all := []keyed{{"a key of the tenant", "key-of-hotel-1"}, {"a key that no configuration ever held", "key-of-nobody"}, {"no key", ""}}
	count := 0
	held := true
	try := func() {
		for _, k := range all {
			for _, n := range m.nodes {
				count++
				id := fmt.Sprintf("keyed%d", count)
				status, err := k.send(n, id)
				r.line("  %s with %s: status %d %v", n.name, k.what, status, err)
				for _, x := range seen(m.servers) {
					if x.id != id {
						continue
					}
					r.line("    run by %s, for the tenant %q, with the key %q", x.server, x.tenant, x.key)
					if k.key == "key-of-nobody" {
						r.line("    ROUTE: a request runs whose key no configuration ever held")
						held = false
					}
					if x.key != "" {
						r.line("    UNASKED: the key was passed on to a server")
						held = false
					}
				}
			}
		}
	}
	r.line("version r1: one tenant with two keys")
	try()
	if !held {
		return false, fmt.Errorf("the rules are broken before the change")
	}
	if trouble {
		m.store.put("op", "config", configuration(2, bodyLimit, []any{}, rates))
		r.line("version r2: Tenants is an empty list, all keys are taken away")
	} else {
		m.store.put("op", "config", configuration(2, bodyLimit, []any{hotel}, rates))
		r.line("version r2: the same tenant")
	}
	time.Sleep(configApply)
	try()
	return held, nil
}
