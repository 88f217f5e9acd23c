package kernel

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stuck is an output that accepts nothing until it is released.
type stuck struct {
	sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.Lock()
	defer s.Unlock()
	return s.written.Write(p)
}

func (s *stuck) String() string {
	s.Lock()
	defer s.Unlock()
	return s.written.String()
}

var _ = Describe("the log writer", func() {
	// A call must not wait because nobody reads the process's output.
	It("never blocks, and tells how many lines it dropped", func() {
		out := &stuck{release: make(chan struct{})}
		w := NewLogWriter(out)
		began := time.Now()
		for i := range logLines + 100 {
			_, err := fmt.Fprintf(w, "{\"n\":%d}\n", i)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(began)).To(BeNumerically("<", 10*time.Second))
		close(out.release)
		Eventually(out.String, "10s").Should(ContainSubstring("log lines dropped"))
		w.Close()
		Expect(out.String()).To(ContainSubstring("{\"n\":0}\n"))
	})

	It("writes what waits when it is closed", func() {
		out := &stuck{release: make(chan struct{})}
		close(out.release)
		w := NewLogWriter(out)
		_, _ = w.Write([]byte("last\n"))
		w.Close()
		Expect(out.String()).To(Equal("last\n"))
	})
})
