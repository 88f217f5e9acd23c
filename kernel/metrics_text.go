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

// labelRules lists the metric prefixes that are followed by a label value: the name
// of a ring or a result code.
var labelRules = []struct{ prefix, label string }{
	{"ring.", "ring"},
	{"calls.refused.", "code"},
}

// quantiles are reported for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// WriteMetrics writes a registry in the Prometheus text format and follows its
// naming conventions: counters end in _total, times are in seconds.
func WriteMetrics(out io.Writer, registry metrics.Registry) error {
	families := map[string]*family{}
	registry.Each(func(name string, metric any) {
		name, labels := parseName(name)
		switch m := metric.(type) {
		case metrics.Counter:
			familyFor(families, name+"_total", "counter").add("", labels, float64(m.Count()))
		case metrics.Gauge:
			familyFor(families, name, "gauge").add("", labels, float64(m.Value()))
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

// family holds the sample lines of one metric family.
type family struct {
	name, kind string
	lines      []string
}

func familyFor(families map[string]*family, name, kind string) *family {
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

// writeHistogram adds a histogram as a summary. Milliseconds are converted to
// seconds.
func writeHistogram(families map[string]*family, name, labels string, h metrics.Histogram) {
	divisor := 1.0
	if base, ok := strings.CutSuffix(name, "_ms"); ok {
		name, divisor = base+"_seconds", 1000
	}
	f := familyFor(families, name, "summary")
	for i, value := range h.Percentiles(quantiles) {
		quantile := fmt.Sprintf("quantile=%q", fmt.Sprint(quantiles[i]))
		if labels != "" {
			quantile = labels + "," + quantile
		}
		f.add("", quantile, value/divisor)
	}
	f.add("_sum", labels, h.Mean()*float64(h.Count())/divisor)
	f.add("_count", labels, float64(h.Count()))
}

// parseName converts the name of a registered metric to its Prometheus name and
// labels.
func parseName(name string) (family, labels string) {
	for _, l := range labelRules {
		rest, ok := strings.CutPrefix(name, l.prefix)
		if !ok {
			continue
		}
		value, suffix := rest, ""
		if dot := strings.LastIndexByte(rest, '.'); dot >= 0 {
			value, suffix = rest[:dot], rest[dot:]
		}
		name = strings.TrimSuffix(l.prefix, ".") + suffix
		labels = fmt.Sprintf("%s=%q", l.label, value)
	}
	return "teaselring_" + strings.ReplaceAll(name, ".", "_"), labels
}
