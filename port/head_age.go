package port

import (
	"math"
	"time"
)

// HeadAge returns the milliseconds since the platform confirmed the version in force
// as its head, at least 1, or 0 when it never did. Heartbeats carry the value.
func (s *ConfigStatus) HeadAge(now time.Time) uint32 {
	if s == nil || s.HeadConfirmed.IsZero() {
		return 0
	}
	age := now.Sub(s.HeadConfirmed).Milliseconds()
	return uint32(min(max(age, 1), math.MaxUint32))
}
