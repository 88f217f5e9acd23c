package kernel

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap of some MB grow to five times its live size
	// between collections: with 400 in place of 100 the processor time of a
	// call fell by about 10% (docs/CAPACITY.md).
	gcPercent = 400
	// memoryLimit makes collections frequent again before the process reaches
	// the 128 MB that a node may use.
	memoryLimit = 96 << 20
)

// tuneMemory sets the garbage collector, unless the environment does.
func tuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
