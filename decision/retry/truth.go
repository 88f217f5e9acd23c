package retry

import "teaselring/result"

// Truth knows what may be said of a call as a whole: after an attempt that may
// have run, a later refusal must not be answered "not run".
type Truth struct{ mayHaveRun error }

// Of returns what the error of the last attempt makes true of the call.
func (t *Truth) Of(err error) error {
	if result.Of(err).Ran != result.NotRun {
		t.mayHaveRun = err
	} else if t.mayHaveRun != nil {
		return t.mayHaveRun
	}
	return err
}
