package kernel

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// blockedWriter blocks every write until it is released.
type blockedWriter struct {
	sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.Lock()
	defer s.Unlock()
	return s.written.Write(p)
}

func (s *blockedWriter) String() string {
	s.Lock()
	defer s.Unlock()
	return s.written.String()
}

var _ = Describe("the log writer", func() {
	// Calls must not stall when nobody reads the process's output.
	It("never blocks and logs the number of dropped lines", func() {
		out := &blockedWriter{release: make(chan struct{})}
		w := NewLogWriter(out)
		start := time.Now()
		for i := range logRingCapacity + 100 {
			_, err := fmt.Fprintf(w, "{\"n\":%d}\n", i)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(start)).To(BeNumerically("<", 10*time.Second))
		close(out.release)
		Eventually(out.String, "10s").Should(ContainSubstring("log lines dropped"))
		w.Close()
		Expect(out.String()).To(ContainSubstring("{\"n\":0}\n"))
	})

	It("writes buffered lines on Close", func() {
		out := &blockedWriter{release: make(chan struct{})}
		close(out.release)
		w := NewLogWriter(out)
		_, _ = w.Write([]byte("last\n"))
		w.Close()
		Expect(out.String()).To(Equal("last\n"))
	})
})
