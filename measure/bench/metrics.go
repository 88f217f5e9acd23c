package bench

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"teaselring/test/harness"
)

var operators = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Metrics returns the counters and gauges of a node, nil when it does not answer.
func Metrics(n *harness.Node) map[string]float64 {
	answer, err := operators.Get("http://" + n.Operators + "/metrics")
	if err != nil {
		return nil
	}
	defer func() { _ = answer.Body.Close() }()
	var all map[string]map[string]any
	if json.NewDecoder(answer.Body).Decode(&all) != nil {
		return nil
	}
	values := map[string]float64{}
	for name, fields := range all {
		for _, field := range []string{"count", "value"} {
			if v, ok := fields[field].(float64); ok {
				values[name] = v
			}
		}
	}
	return values
}

// Publish applies records through the first node as soon as it listens. A node
// is not ready before it has a configuration.
func Publish(c *harness.Cluster, publication, records string) {
	c.H.Until("the records to be applied", func() error {
		status, body := c.Apply(c.Nodes[0], publication, records)
		if status != http.StatusOK {
			return fmt.Errorf("status %d: %s", status, body)
		}
		return nil
	})
}
