package bench

import (
	"encoding/json"
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
