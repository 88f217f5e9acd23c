package linkoverlay

import "github.com/rcrowley/go-metrics"

// meters are the metrics of the plug-in.
type meters struct {
	up, accepted            metrics.Gauge
	dialFailures, refused   metrics.Counter
	silent, slow            metrics.Counter
	messagesIn, messagesOut metrics.Counter
	bytesIn, bytesOut       metrics.Counter
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		up:           metrics.NewRegisteredGauge("links.up", r),
		accepted:     metrics.NewRegisteredGauge("links.accepted", r),
		dialFailures: metrics.NewRegisteredCounter("links.dial_failures", r),
		refused:      metrics.NewRegisteredCounter("links.refused", r),
		silent:       metrics.NewRegisteredCounter("links.silent", r),
		slow:         metrics.NewRegisteredCounter("links.slow", r),
		messagesIn:   metrics.NewRegisteredCounter("links.messages_in", r),
		messagesOut:  metrics.NewRegisteredCounter("links.messages_out", r),
		bytesIn:      metrics.NewRegisteredCounter("links.bytes_in", r),
		bytesOut:     metrics.NewRegisteredCounter("links.bytes_out", r),
	}
}
