package retry

import "teaselring/result"

// FinalError merges the errors of a call's attempts. After an attempt that may have
// run, the call must not be reported as "not run" because a later one was refused.
type FinalError struct{ mayHaveRunErr error }

// Of returns the error of the call after err, the error of its latest attempt.
func (t *FinalError) Of(err error) error {
	if result.Of(err).Ran != result.NotRun {
		t.mayHaveRunErr = err
	} else if t.mayHaveRunErr != nil {
		return t.mayHaveRunErr
	}
	return err
}
