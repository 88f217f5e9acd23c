package main

import (
	"bytes"
	"encoding/json"
	"os"
	"time"
)

// nodeLog collects the versions in force from the log of a node.
type nodeLog struct {
	path    string
	offset  int64
	inForce []inForce
}

// inForce records that a version came into force on a node.
type inForce struct {
	version uint64
	at      time.Time
}

// readNewLines reads the lines written since the last call.
func (l *nodeLog) readNewLines() {
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
			l.inForce = append(l.inForce, inForce{entry.Version, entry.Time})
		}
	}
}

// firstInForce returns the first time, not before the given one, at which the
// version or a higher one came into force. After a restart the node logs it
// again.
func (l *nodeLog) firstInForce(version uint64, after time.Time) (time.Time, bool) {
	for _, t := range l.inForce {
		if t.version >= version && !t.at.Before(after) {
			return t.at, true
		}
	}
	return time.Time{}, false
}
