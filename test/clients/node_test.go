package clients

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
	"teaselring/test/sidecar"
)

// Limits in the settings of the process under test. They are below those of an
// instance, so that a small crowd exceeds them.
const (
	memoryMB        = 64
	fileDescriptors = 300
)

const (
	// bodyBytes is the limit on bodies in the configuration of the stand-ins.
	bodyBytes = 1 << 24
	// largeResponseBytes is the size of a response that a node holds completely.
	largeResponseBytes = 1_000_000
	// largePath is answered with a large response.
	largePath = "/read/large"
	// fdPollInterval is the time between two counts of the open descriptors.
	fdPollInterval = 5 * time.Millisecond
	// settleTime lets the node accept the connections that wait for it, so that their
	// descriptors are counted.
	settleTime = 500 * time.Millisecond
	// requestInterval is the time between two tries of the ordinary request, which may
	// be refused while the crowd is at its height.
	requestInterval = 100 * time.Millisecond
)

// node is the process under test and what was measured of it.
type node struct {
	h       *harness.Harness
	machine *sidecar.Machine
	pid     int
	peakFDs atomic.Int64
	// requests counts the ordinary requests. Each has its own id, as a client's attempts
	// have: a node refuses an id that it has refused before.
	requests atomic.Int64
}

// startNode starts one process with its server and the store.
func startNode() *node {
	h := harness.New(GinkgoTB())
	m := sidecar.NewMeshWithOptions(h, sidecar.Options{
		Machines: 1, MemoryMB: memoryMB, FileDescriptors: fileDescriptors,
		Prepare: func(_ int, machine *sidecar.Machine) {
			machine.Server.Config.Handler = upstream(machine.Server.Config.Handler)
		},
	})
	DeferCleanup(m.Stop)
	n := &node{h: h, machine: m.Machines[0], pid: m.Machines[0].PID()}
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() { defer close(stopped); n.countFDs(stop) }()
	DeferCleanup(func() { close(stop); <-stopped })
	return n
}

// upstream reads bodies without holding them, and sends large responses. Other
// requests than calls go to next.
func upstream(next http.Handler) http.Handler {
	large := make([]byte, largeResponseBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			next.ServeHTTP(w, r)
			return
		}
		read, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		h := w.Header()
		h.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		h.Set("Response-Signature", "s")
		h.Set("X-Server", r.Header.Get("Expected-Instance"))
		if r.URL.Path == largePath {
			h.Set("Content-Length", strconv.Itoa(len(large)))
			_, _ = w.Write(large)
			return
		}
		_, _ = io.WriteString(w, strconv.FormatInt(read, 10))
	})
}

func (n *node) countFDs(stop <-chan struct{}) {
	ticker := time.NewTicker(fdPollInterval)
	defer ticker.Stop()
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.pid)); err == nil {
			n.peakFDs.Store(max(n.peakFDs.Load(), int64(len(entries))))
		}
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

// peakMemory returns the peak resident memory in bytes.
func (n *node) peakMemory() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.pid))
	Expect(err).NotTo(HaveOccurred(), "the process has ended")
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			Expect(err).NotTo(HaveOccurred())
			return kb << 10
		}
	}
	Fail("no VmHWM in the status of the process")
	return 0
}

// request sends an ordinary request on a new connection. It returns an error unless the
// response is that of the server.
func (n *node) request(method, path string, body io.Reader, length int64) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: harness.Deadline}
	r, err := http.NewRequest(method, "http://"+n.machine.Address.Outbound+path, body)
	if err != nil {
		return err
	}
	r.Host, r.ContentLength = sidecar.Host, length
	r.Header.Set("Attempt-Id", fmt.Sprintf("ordinary-%d", n.requests.Add(1)))
	r.Header.Set("Deadline-Milliseconds", "4000")
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || string(content) != strconv.FormatInt(length, 10) {
		return fmt.Errorf("status %d: %.200s", response.StatusCode, content)
	}
	return nil
}

// check checks what must hold under a crowd that is still connected. All figures are
// reported before one fails the spec.
func (n *node) check() {
	GinkgoHelper()
	time.Sleep(settleTime)
	unserved := n.request(http.MethodGet, "/read/x", nil, 0)
	for limit := time.Now().Add(harness.Deadline); unserved != nil && time.Now().Before(limit); {
		time.Sleep(requestInterval)
		unserved = n.request(http.MethodGet, "/read/x", nil, 0)
	}
	select {
	case <-n.machine.Exited():
		Fail("the process has ended")
	default:
	}
	Expect(n.machine.PID()).To(Equal(n.pid))
	memory, fds := n.peakMemory(), n.peakFDs.Load()
	served := "served"
	if unserved != nil {
		served = "not served"
	}
	AddReportEntry("figures", fmt.Sprintf("peak resident memory %d MB of %d, descriptors %d of %d, ordinary request %s",
		memory>>20, memoryMB, fds, fileDescriptors, served), ReportEntryVisibilityAlways)
	Expect(memory).To(BeNumerically("<=", memoryMB<<20), "peak resident memory")
	Expect(fds).To(BeNumerically("<=", fileDescriptors), "open descriptors")
	Expect(unserved).NotTo(HaveOccurred(), "ordinary request")
}
