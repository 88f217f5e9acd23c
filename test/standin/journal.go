package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"teaselring/kernel"
)

// Journal writes JSON lines to a file. Write returns when the line is in the file, so
// that a later crash of the process does not lose it.
type Journal struct {
	path string
	ring *journalRing
}

type journalRing = kernel.Ring[kernel.Request[any, struct{}]]

const journalRingName = "journal.lines"

// NewJournal returns a journal whose duty is Duty. With an empty path it discards all
// lines.
func NewJournal(path string) *Journal {
	return &Journal{path: path, ring: kernel.NewRing[kernel.Request[any, struct{}]](journalRingName, 256, kernel.WaitUntilDeadline)}
}

// Write appends a line. A failure ends the process, because a test that counts lines
// could otherwise pass on an incomplete journal.
func (j *Journal) Write(ctx context.Context, line any) {
	if j.path == "" {
		return
	}
	if _, err := kernel.Do(ctx, j.ring, line); err != nil {
		fmt.Fprintln(os.Stderr, "journal:", err)
		os.Exit(3)
	}
}

// Duty returns the duty that owns the file.
func (j *Journal) Duty() kernel.Duty {
	return kernel.Duty{Name: "journal", Owns: "the journal file", In: []string{journalRingName}, Run: j.run}
}

func (j *Journal) run(ctx context.Context) error {
	if j.path == "" {
		return nil
	}
	file, err := os.OpenFile(j.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	for {
		select {
		case request := <-j.ring.C():
			line, err := json.Marshal(request.Payload)
			if err == nil {
				_, err = file.Write(append(line, '\n'))
			}
			if err != nil {
				return err
			}
			request.Respond(struct{}{})
		case <-ctx.Done():
			return nil
		}
	}
}
