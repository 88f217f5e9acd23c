package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/standin"
)

// Integration tests count calls in these journals. A call lost in a crash, or a
// process that outlives its test, would falsify the counts.
var _ = Describe("the harness", func() {
	It("runs, kills and restarts an upstream and keeps its journal", func() {
		h := New(GinkgoT())
		u := h.StartUpstream("u1", "billing", "v1", "", "-shed-above", "1")
		request := func(method, path, key string, header ...string) (*http.Response, error) {
			r, err := http.NewRequest(method, "http://"+u.Address+path, strings.NewReader(key))
			Expect(err).NotTo(HaveOccurred())
			r.Header.Set("Idempotency-Key", key)
			for _, name := range header {
				r.Header.Set(name, "1")
			}
			return controlClient.Do(r)
		}
		text := func(response *http.Response, err error) string {
			GinkgoHelper()
			Expect(err).NotTo(HaveOccurred())
			content, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
			return string(content)
		}
		began := func(key string) int {
			return u.CountBegan(func(c standin.Call) bool { return c.Key == key })
		}

		Expect(text(request("POST", "/pay", "k1"))).To(Equal("k1"))
		Expect(text(request("GET", "/stream?bytes=30&pause_ms=1", ""))).To(Equal("abcdefghijklmnopqrstuvwxyzabcd"))
		Expect(text(request("GET", "/stream?bytes=100000", ""))).To(HaveLen(100000))

		u.Control(map[string]any{"error_rate": 1, "fault_path": "/pay"})
		response, err := request("POST", "/pay", "k2")
		Expect(text(response, err)).To(ContainSubstring("injected"))
		Expect(text(request("POST", "/other", "k3"))).To(Equal("k3"))

		u.Control(map[string]any{"service_ms": 60000})
		result := make(chan error, 1)
		go func() {
			_, err := request("POST", "/slow", "k4")
			result <- err
		}()
		h.WaitUntil("the slow call to begin", func() error { return equal(began("k4"), 1) })
		shed, err := request("POST", "/slow", "k5")
		Expect(text(shed, err)).To(BeEmpty())
		Expect(shed.Header.Get("Teasel-Shed")).To(Equal("1"))
		Expect(began("k5")).To(BeZero())
		u.Kill()
		Expect(<-result).To(HaveOccurred())

		u.Restart()
		_, err = request("POST", "/pay", "k6", "X-Crash")
		Expect(err).To(HaveOccurred())
		Expect(u.ExitCode()).To(Equal(2))
		Expect(began("k6")).To(Equal(1))
		Expect(u.Calls()).To(ContainElement(And(HaveField("Event", "ended"), HaveField("Key", "k1"))))
		Expect(u.Calls()).NotTo(ContainElement(And(HaveField("Event", "ended"), HaveField("Key", "k6"))))
	})

	It("runs an upstream that announces state changes and draining", func() {
		seen := make(chan map[string]any, 64)
		node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			var body map[string]any
			_ = json.NewDecoder(r.Body).Decode(&body)
			body["url"] = r.Method + " " + r.RequestURI
			seen <- body
		}))
		DeferCleanup(node.Close)
		u := New(GinkgoT()).StartUpstream("u1", "billing", "v2", node.Listener.Addr().String(), "-slots", "4")
		var first, drained map[string]any
		Eventually(seen, Deadline).Should(Receive(&first))
		Expect(first).To(And(HaveLen(7), HaveKeyWithValue("process", Not(BeEmpty()))))
		for key, want := range map[string]any{
			"url": "POST /announce", "service": "billing", "version": "v2",
			"address": u.Address, "slots": 4.0, "state": "ready",
		} {
			Expect(first).To(HaveKeyWithValue(key, want))
		}
		u.Control(map[string]any{"state": "starting"})
		Eventually(seen, Deadline).Should(Receive(HaveKeyWithValue("state", "starting")))
		u.Stop()
		for len(seen) > 0 {
			drained = <-seen
		}
		Expect(drained).To(HaveKeyWithValue("state", "draining"))
		Expect(u.ExitCode()).To(BeZero())
	})

	It("runs a platform, pauses it and stops it", func() {
		h := New(GinkgoT())
		p := h.StartPlatform("-writes-per-second", "0")
		url := "http://" + p.Address + "/v1/objects/o"
		Expect(sendRequest("PUT", url, []byte("x"), nil)).To(Succeed())
		p.Control(map[string]any{"outage": true})
		Expect(sendRequest("PUT", url, []byte("y"), nil)).To(MatchError(ContainSubstring("503")))
		Expect(p.Writes()).To(HaveExactElements(HaveField("Object", "o")))
		Expect(p.Stats()).To(HaveKeyWithValue("refused", 1))
		p.Pause()
		p.Resume()
		p.Stop()
		Expect(p.ExitCode()).To(BeZero())
	})
})

func equal(got, want int) error {
	if got != want {
		return fmt.Errorf("got %d, want %d", got, want)
	}
	return nil
}
