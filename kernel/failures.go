package kernel

// failures signals that a duty has failed and the process must stop.
type failures chan struct{}

func newFailures() failures { return make(failures, 1) }

// report never blocks: one failure is enough to stop the process.
func (f failures) report() {
	select {
	case f <- struct{}{}:
	default:
	}
}
