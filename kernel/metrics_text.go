package kernel

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// labelled are the prefixes of metrics whose last or middle part is a label: that
// of a ring's name, and that of a result code.
var labelled = []struct{ prefix, label string }{
	{"ring.", "ring"},
	{"calls.refused.", "code"},
}

// quantiles are those of histograms.
var quantiles = []float64{0.5, 0.9, 0.99}

// WriteMetrics writes a registry in the Prometheus text format, by whose
// conventions the metrics are named: counters end in _total, times are in seconds.
func WriteMetrics(out io.Writer, registry metrics.Registry) error {
	families := map[string]*family{}
	registry.Each(func(name string, metric any) {
		name, labels := split(name)
		switch m := metric.(type) {
		case metrics.Counter:
			of(families, name+"_total", "counter").add("", labels, float64(m.Count()))
		case metrics.Gauge:
			of(families, name, "gauge").add("", labels, float64(m.Value()))
		case metrics.Histogram:
			writeHistogram(families, name, labels, m.Snapshot())
		}
	})
	w := bufio.NewWriter(out)
	for _, name := range slices.Sorted(maps.Keys(families)) {
		f := families[name]
		slices.Sort(f.lines)
		_, _ = fmt.Fprintf(w, "# TYPE %s %s\n%s", name, f.kind, strings.Join(f.lines, "")) // Flush returns the error
	}
	return w.Flush()
}

// family is the lines of one metric.
type family struct {
	name, kind string
	lines      []string
}

func of(families map[string]*family, name, kind string) *family {
	if families[name] == nil {
		families[name] = &family{name: name, kind: kind}
	}
	return families[name]
}

func (f *family) add(suffix, labels string, value float64) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	f.lines = append(f.lines, fmt.Sprintf("%s%s%s %g\n", f.name, suffix, labels, value))
}

// writeHistogram writes a histogram as a summary. One in milliseconds is told in
// seconds.
func writeHistogram(families map[string]*family, name, labels string, h metrics.Histogram) {
	unit := 1.0
	if base, ok := strings.CutSuffix(name, "_ms"); ok {
		name, unit = base+"_seconds", 1000
	}
	f := of(families, name, "summary")
	for i, value := range h.Percentiles(quantiles) {
		quantile := fmt.Sprintf("quantile=%q", fmt.Sprint(quantiles[i]))
		if labels != "" {
			quantile = labels + "," + quantile
		}
		f.add("", quantile, value/unit)
	}
	f.add("_sum", labels, h.Mean()*float64(h.Count())/unit)
	f.add("_count", labels, float64(h.Count()))
}

// split returns the name of a metric by the conventions, and its labels.
func split(name string) (family, labels string) {
	for _, l := range labelled {
		rest, ok := strings.CutPrefix(name, l.prefix)
		if !ok {
			continue
		}
		value, last := rest, ""
		if dot := strings.LastIndexByte(rest, '.'); dot >= 0 {
			value, last = rest[:dot], rest[dot:]
		}
		name = strings.TrimSuffix(l.prefix, ".") + last
		labels = fmt.Sprintf("%s=%q", l.label, value)
	}
	return "teaselring_" + strings.ReplaceAll(name, ".", "_"), labels
}
