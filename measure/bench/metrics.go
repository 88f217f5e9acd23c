package bench

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"teaselring/test/harness"
)

var metricsClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Metrics returns the counters and gauges of a node, or nil if it does not
// respond.
func Metrics(n *harness.Node) map[string]float64 {
	response, err := metricsClient.Get("http://" + n.Operators + "/metrics")
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var metrics map[string]map[string]any
	if json.NewDecoder(response.Body).Decode(&metrics) != nil {
		return nil
	}
	values := map[string]float64{}
	for name, fields := range metrics {
		for _, field := range []string{"count", "value"} {
			if v, ok := fields[field].(float64); ok {
				values[name] = v
			}
		}
	}
	return values
}

// Publish applies records through the first node, retrying until it listens. It
// does not wait for readiness: a node without a configuration is not ready.
func Publish(c *harness.Cluster, publication, records string) {
	c.H.WaitUntil("the records to be applied", func() error {
		status, body := c.Apply(c.Nodes[0], publication, records)
		if status != http.StatusOK {
			return fmt.Errorf("status %d: %s", status, body)
		}
		return nil
	})
}
