package main

import (
	"bytes"
	"encoding/json"
	"os"
	"time"
)

// nodeLog follows the versions in force in the log of a node.
type nodeLog struct {
	path   string
	offset int64
	taken  []taken
}

type taken struct {
	version uint64
	at      time.Time
}

// read takes the lines written since the last call.
func (l *nodeLog) read() {
	file, err := os.Open(l.path)
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil || info.Size() == l.offset {
		return
	}
	content := make([]byte, info.Size()-l.offset)
	n, _ := file.ReadAt(content, l.offset)
	content = content[:bytes.LastIndexByte(content[:n], '\n')+1]
	l.offset += int64(len(content))
	for line := range bytes.Lines(content) {
		var entry struct {
			Time    time.Time `json:"time"`
			Message string    `json:"msg"`
			Version uint64    `json:"version"`
		}
		if json.Unmarshal(line, &entry) == nil && entry.Message == "version in force" {
			l.taken = append(l.taken, taken{entry.Version, entry.Time})
		}
	}
}

// reached returns when the node first had the version or a higher one in force
// after the given instant. A restarted node has it a second time.
func (l *nodeLog) reached(version uint64, after time.Time) (time.Time, bool) {
	for _, t := range l.taken {
		if t.version >= version && !t.at.Before(after) {
			return t.at, true
		}
	}
	return time.Time{}, false
}
