// Package suite tests the system end to end: separate processes that communicate
// over real sockets, checked from the outside.
package suite

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
	"teaselring/test/standin"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "suite")
}

var _ = AfterSuite(harness.RemoveBinaries)

// records declare one service with a route of each class.
const records = `
[[record]]
kind = "service"
id = "stock"
schema = 1
slots = 6
queue = 16

[[record]]
kind = "route"
id = "stock-read"
schema = 2
path_prefix = "/stock"
service = "stock"
class = "read"
timeout = "5s"

[[record]]
kind = "route"
id = "stock-file"
schema = 2
path_prefix = "/filing"
service = "stock"
class = "once"
timeout = "5s"

[[record]]
kind = "route"
id = "stock-upload"
schema = 2
path_prefix = "/upload"
service = "stock"
class = "upload"
timeout = "30s"
`

// reply is the response or the error that a caller got.
type reply struct {
	status int
	code   string // result code, empty for a response of the upstream
	body   []byte
	err    error
}

var httpClient = &http.Client{
	Timeout:   60 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
}

// call sends a request to a node as a caller would.
func call(n *harness.Node, method, path, key string, body []byte) reply {
	request, err := http.NewRequest(method, "http://"+n.Callers+path, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, code: response.Header.Get("Teasel-Code"), body: content, err: err}
}

// applyRecords publishes the records and waits until a call through every node
// succeeds.
func applyRecords(c *harness.Cluster, publication string) {
	status, body := c.Apply(c.Nodes[0], publication, records)
	Expect(status).To(Equal(http.StatusOK), body)
	for _, n := range c.Nodes {
		c.H.WaitUntil("a call through "+n.Name, func() error {
			if r := call(n, "GET", "/stock/ready", "", nil); r.status != http.StatusOK {
				return fmt.Errorf("status %d, code %s, %v: %s", r.status, r.code, r.err, r.body)
			}
			return nil
		})
	}
}

func withKey(key string) func(standin.Call) bool {
	return func(c standin.Call) bool { return c.Key == key }
}
