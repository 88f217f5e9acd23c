package bench

import (
	"math"
	"slices"
	"time"
)

// Quantile returns the smallest value that at least the share q of all values
// does not exceed. It sorts the values.
func Quantile[T ~int64 | ~float64](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(max(int(math.Ceil(q*float64(len(values))))-1, 0), len(values)-1)]
}

// Quantiles are in microseconds.
type Quantiles struct {
	Count int   `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p99.9_us"`
	Worst int64 `json:"worst_us"`
}

// QuantilesOf sorts the values.
func QuantilesOf(values []time.Duration) Quantiles {
	return Quantiles{
		Count: len(values),
		P50:   Quantile(values, 0.5).Microseconds(),
		P99:   Quantile(values, 0.99).Microseconds(),
		P999:  Quantile(values, 0.999).Microseconds(),
		Worst: Quantile(values, 1).Microseconds(),
	}
}

// Round keeps a number of decimals for output.
func Round(v float64, decimals int) float64 {
	p := math.Pow10(decimals)
	return math.Round(v*p) / p
}
