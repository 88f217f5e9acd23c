package audittrail

import (
	"encoding/json"
	"time"

	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// maxBatch bounds the entries of one transaction.
const maxBatch = 64

// journal numbers entries and holds the batch that is being written. It uses no
// clock and does no I/O.
type journal struct {
	node        mesh.NodeID
	incarnation mesh.Incarnation
	sequence    uint64 // of the last entry
	batch       []port.AuditEntry
	lost        uint64 // entries lost since the last one that was added
}

// add numbers an entry and appends it to the batch.
func (j *journal) add(entry port.AuditEntry, now time.Time) {
	j.sequence++
	entry.Stream, entry.Sequence = j.stream(), j.sequence
	entry.Lost, j.lost = j.lost, 0
	if entry.Time.IsZero() {
		entry.Time = now
	}
	entry.Time = entry.Time.UTC()
	if entry.Who == "" {
		entry.Who = string(j.node)
	}
	j.batch = append(j.batch, entry)
}

func (j *journal) stream() string { return port.NodeStream(j.node, j.incarnation) }

func (j *journal) full() bool { return len(j.batch) >= maxBatch }

// written clears the batch after it was written.
func (j *journal) written() { j.batch = nil }

// discard drops the batch. The gap in the sequence and the next entry's lost count
// show it.
func (j *journal) discard() {
	for _, entry := range j.batch {
		j.lost += entry.Lost + 1
	}
	j.batch = nil
}

// switchIncarnation moves the batch to the stream of another incarnation.
func (j *journal) switchIncarnation(incarnation mesh.Incarnation) {
	j.incarnation, j.sequence = incarnation, 0
	for i := range j.batch {
		j.sequence++
		j.batch[i].Stream, j.batch[i].Sequence = j.stream(), j.sequence
	}
}

// txn returns a transaction that writes the whole batch if none of its rows exists.
// A retry of a transaction that took effect therefore fails and writes nothing.
func (j *journal) txn() (port.Txn, error) {
	var txn port.Txn
	for i := range j.batch {
		key := port.AuditKey(j.batch[i].Stream, j.batch[i].Sequence)
		value, err := json.Marshal(&j.batch[i])
		if err != nil {
			return port.Txn{}, result.BadRequest.Errorf("audit entry %s can't be encoded: %v", key, err)
		}
		txn.Checks = append(txn.Checks, port.Check{Table: port.AuditTable, Key: key})
		txn.Puts = append(txn.Puts, port.Put{Table: port.AuditTable, Key: key, Value: value})
	}
	return txn, nil
}
