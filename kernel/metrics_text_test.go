package kernel

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

// Prometheus collectors read this format and can't read JSON.
var _ = Describe("metrics as text", func() {
	It("follow the Prometheus naming conventions, sorted by name", func() {
		r := metrics.NewRegistry()
		metrics.NewRegisteredCounter("calls.refused.1004", r).Inc(3)
		metrics.NewRegisteredCounter("outbound.requests", r).Inc(7)
		metrics.NewRegisteredGauge("config.version", r).Update(12)
		NewRing[int]("router.picks", 2, Refuse).register(r)
		h := metrics.NewRegisteredHistogram("outbound.latency_ms", r, metrics.NewUniformSample(10))
		h.Update(250)
		var out strings.Builder
		Expect(WriteMetrics(&out, r)).To(Succeed())
		Expect(out.String()).To(Equal(strings.Join([]string{
			"# TYPE teaselring_calls_refused_total counter",
			`teaselring_calls_refused_total{code="1004"} 3`,
			"# TYPE teaselring_config_version gauge",
			"teaselring_config_version 12",
			"# TYPE teaselring_outbound_latency_seconds summary",
			"teaselring_outbound_latency_seconds_count 1",
			"teaselring_outbound_latency_seconds_sum 0.25",
			`teaselring_outbound_latency_seconds{quantile="0.5"} 0.25`,
			`teaselring_outbound_latency_seconds{quantile="0.9"} 0.25`,
			`teaselring_outbound_latency_seconds{quantile="0.99"} 0.25`,
			"# TYPE teaselring_outbound_requests_total counter",
			"teaselring_outbound_requests_total 7",
			"# TYPE teaselring_ring_depth gauge",
			`teaselring_ring_depth{ring="router.picks"} 0`,
			"# TYPE teaselring_ring_high_water gauge",
			`teaselring_ring_high_water{ring="router.picks"} 0`,
			"# TYPE teaselring_ring_refused_total counter",
			`teaselring_ring_refused_total{ring="router.picks"} 0`,
			"# TYPE teaselring_ring_replaced_total counter",
			`teaselring_ring_replaced_total{ring="router.picks"} 0`,
			"",
		}, "\n")))
	})
})
