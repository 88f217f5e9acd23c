package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newTestNode serves the operators' API with fixed responses.
func newTestNode() *httptest.Server {
	responses := map[string]struct {
		status int
		body   string
	}{
		"POST /v1/apply?base=0&publication=p1":        {200, `{"version":8,"merged":true}`},
		"POST /v1/apply?base=3&publication=p1":        {409, `{"code":2003,"name":"conflict","message":"overlap","details":{"record":"route/pay"}}`},
		"POST /v1/validate?base=0&remove=route%2Fpay": {200, `{"version":7}`},
		"GET /v1/records?version=7":                   {200, "[[record]]\n"},
		"GET /v1/diff?from=6&to=7": {200, `{"from":6,"to":7,"added":[{"kind":"route","id":"pay"}],"changed":[
			{"kind":"service","id":"billing","fields":[{"field":"slots","from":"6","to":"8"}]}]}`},
		"GET /v1/status": {200, `{"node":"n1","in_force":8,"nodes":[
			{"node":"n1","zone":"z1","state":"alive","in_force":8,"upstream":{"service":"billing","version":"v2","state":"ready"}},
			{"node":"n2","zone":"z2","state":"alive","in_force":7,"refused":8,"code":2001,"reason":"bad"}]}`},
		"GET /v1/moves":               {200, `{"moves":[{"id":"m1","service":"billing","old":"v1","new":"v2","phase":"shifting","share":0.05}]}`},
		"POST /v1/moves":              {422, `{"code":3002,"name":"move_past_target","message":"past"}`},
		"GET /v1/moves/m1":            {200, `{"id":"m1","phase":"done","share":1,"step":9,"reason":"full share watched"}`},
		"GET /v1/moves/m2":            {200, `{"id":"m2","phase":"taken_back","step":4,"reason":"failures"}`},
		"GET /v1/moves/m3":            {200, `{"id":"m3","phase":"shifting","step":4,"reason":"raised"}`},
		"POST /v1/moves/m1/take-back": {409, `{"code":3005,"name":"move_ended","message":"ended"}`},
		"POST /v1/drain":              {200, `{}`},
		"GET /v1/audit?after=4&limit=100&stream=config": {200, `{"entries":[{"stream":"config","sequence":5,"who":"ana","action":"apply","subject":"8","lost":2}]}`},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, ok := responses[r.Method+" "+r.RequestURI]
		switch {
		case r.Header.Get("Authorization") != "Bearer secret":
			response.status, response.body = 401, `{"code":4001,"name":"unauthenticated","message":"no token"}`
		case !ok:
			response.status, response.body = 500, "no response for "+r.Method+" "+r.RequestURI
		}
		w.Header().Set("Teasel-Version", "7")
		w.WriteHeader(response.status)
		_, _ = w.Write([]byte(response.body))
	}))
	DeferCleanup(server.Close)
	return server
}

func invoke(address, token string, args ...string) (code int, stdout, stderr string) {
	env := map[string]string{"TEASELCTL_ADDRESS": address, "TEASELCTL_TOKEN": token}
	var out, errs bytes.Buffer
	code = run(args, func(name string) string { return env[name] }, &out, &errs)
	return code, out.String(), errs.String()
}

func recordsFile() string {
	file := filepath.Join(GinkgoT().TempDir(), "records.toml")
	Expect(os.WriteFile(file, []byte("[[record]]\n"), 0o600)).To(Succeed())
	return file
}

// Operators' scripts branch on exit codes and parse stdout: a refusal with exit code 0,
// or progress messages in the output, breaks them.
var _ = DescribeTable("a command", func(args []string, code int, stdout, stderr string) {
	if args[len(args)-1] == "-f" {
		args = append(args, recordsFile())
	}
	gotCode, gotOut, gotErr := invoke(newTestNode().Listener.Addr().String(), "secret", args...)
	Expect(gotCode).To(Equal(code), gotErr)
	Expect(gotOut).To(MatchRegexp(stdout))
	Expect(gotErr).To(MatchRegexp(stderr))
},
	Entry("apply", []string{"apply", "--publication", "p1", "-f"}, exitOK, `^version 8, merged`, `^$`),
	Entry("apply as JSON", []string{"apply", "-o", "json", "--publication", "p1", "-f"}, exitOK, `"version": 8`, `^$`),
	Entry("apply that conflicts", []string{"apply", "--publication", "p1", "--base", "3", "-f"}, exitRefused, `^$`, `conflict \(2003\): overlap\n  record: route/pay`),
	Entry("apply that a node refuses", []string{"apply", "--wait", "--publication", "p1", "-f"}, exitNotApplied, `^version 8`, `active on 1 of 2 nodes, refused by 1\n(?s:.*)refused by 1 of 2`),
	Entry("validate", []string{"validate", "--remove", "route/pay"}, exitOK, `^valid with version 7`, `^$`),
	Entry("get", []string{"get", "--version", "7"}, exitOK, `^# version 7\n\[\[record\]\]\n$`, `^$`),
	Entry("diff", []string{"diff", "--from", "6", "--to", "7"}, exitOK, `\+  route +pay\n~  service +billing +slots +6 +-> +8`, `^$`),
	Entry("status", []string{"status"}, exitOK, `n1 +z1 +alive +8 +billing v2 ready +-\nn2 +z2 +alive +7 +- +8: code 2001, bad`, `^$`),
	Entry("move list", []string{"move", "list"}, exitOK, `m1 +billing +v1 +v2 +shifting +5.0%`, `^$`),
	Entry("move start refused, JSON", []string{"move", "start", "-o", "json", "--service", "s", "--old", "a", "--new", "b", "--target", "1s"}, exitRefused, `^$`, `^{"code":3002,"name":"move_past_target"`),
	Entry("move watch of one done", []string{"move", "watch", "m1"}, exitOK, `m1 .* done +100.0%`, `^move m1: done, share 100.0%: full share watched\n$`),
	Entry("move watch of one taken back", []string{"move", "watch", "m2"}, exitNotApplied, `taken_back`, `was taken back: failures`),
	Entry("move watch that times out", []string{"move", "watch", "m3", "--timeout", "50ms"}, exitTimeout, `^$`, `shifting`),
	Entry("move take-back refused", []string{"move", "take-back", "m1"}, exitRefused, `^$`, `move_ended \(3005\)`),
	Entry("drain", []string{"drain", "n1"}, exitOK, `^n1 +drains`, `^$`),
	Entry("audit", []string{"audit", "--after", "4"}, exitOK, `5 .*ana +apply +8(?s:.*)2 entries before this one were dropped`, `^$`),
	Entry("wrong token", []string{"status", "--token", "other"}, exitRefused, `^$`, `unauthenticated \(4001\)`),
	Entry("response without a code", []string{"get", "--version", "1"}, exitRefused, `^$`, `status 500 without a result code`),
	Entry("unknown flag", []string{"status", "--frob"}, exitUsage, `^$`, `frob`),
	Entry("missing argument", []string{"drain"}, exitUsage, `^$`, `arg`),
	Entry("missing file", []string{"apply", "--publication", "p1"}, exitUsage, `^$`, `file`),
	Entry("unreadable file", []string{"apply", "-f", "/nonexistent/records.toml"}, exitUsage, `^$`, `nonexistent`),
	Entry("unknown output", []string{"status", "-o", "xml"}, exitUsage, `^$`, `table or json`),
	Entry("bad target time", []string{"move", "start", "--service", "s", "--old", "a", "--new", "b", "--target", "soon"}, exitUsage, `^$`, `allowed is a time such as`),
	Entry("address that is not an IP", []string{"status", "--address", "localhost:1"}, exitUsage, `^$`, `IP:port`),
	Entry("unknown command", []string{"frob"}, exitUsage, `^$`, `frob`),
)

// Unreachable nodes and nodes that do not respond have different exit codes: the latter
// may have executed the request.
var _ = Describe("a node that does not respond", func() {
	It("is reported as unreachable when it refuses connections", func() {
		server := newTestNode()
		address := server.Listener.Addr().String()
		server.Close()
		code, _, stderr := invoke(address, "secret", "drain", "n1")
		Expect(code).To(Equal(exitUnreachable))
		Expect(stderr).To(ContainSubstring("nothing was sent"))
	})

	It("causes a timeout that names the publication id for a repeat", func() {
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(time.Minute):
			}
		}))
		DeferCleanup(server.CloseClientConnections)
		code, stdout, stderr := invoke(server.Listener.Addr().String(), "secret", "apply", "--timeout", "100ms", "-f", recordsFile())
		Expect(code).To(Equal(exitTimeout))
		Expect(stdout).To(BeEmpty())
		Expect(stderr).To(MatchRegexp(`repeat with --publication \w{16}`))
	})
})
