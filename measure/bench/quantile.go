package bench

import (
	"math"
	"slices"
	"time"
)

// Quantile returns the q-quantile by the nearest-rank method, or 0 without
// values. It sorts the values in place.
func Quantile[T ~int64 | ~float64](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(max(int(math.Ceil(q*float64(len(values))))-1, 0), len(values)-1)]
}

// Quantiles holds the count and quantiles of durations, in microseconds.
type Quantiles struct {
	Count int   `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p99.9_us"`
	Worst int64 `json:"worst_us"`
}

// QuantilesOf returns the quantiles of values, which it sorts in place.
func QuantilesOf(values []time.Duration) Quantiles {
	return Quantiles{
		Count: len(values),
		P50:   Quantile(values, 0.5).Microseconds(),
		P99:   Quantile(values, 0.99).Microseconds(),
		P999:  Quantile(values, 0.999).Microseconds(),
		Worst: Quantile(values, 1).Microseconds(),
	}
}

// Round rounds v to the given number of decimals.
func Round(v float64, decimals int) float64 {
	p := math.Pow10(decimals)
	return math.Round(v*p) / p
}
