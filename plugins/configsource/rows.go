package configsource

import (
	"context"
	"encoding/json"
	"time"

	"teaselring/decision/config"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// Rows of the configuration on the platform.
const (
	configTable       = "config"
	headKey           = "head"
	publicationPrefix = "publication/"
)

// headRow is the value of the row config/head.
type headRow struct {
	Version     mesh.Version `json:"version"`
	Object      string       `json:"object"` // SHA-256 of the content
	Publication string       `json:"publication"`
	By          string       `json:"by"`
	At          time.Time    `json:"at"`

	revision uint64
}

// publicationRow is the value of the row config/publication/<id>. It is
// written with the head, so that a repeated publication finds its outcome after
// any number of later versions.
type publicationRow struct {
	Version mesh.Version `json:"version"`
	Merged  bool         `json:"merged"`
}

// readHead returns the head; its Version is 0 when nothing was published.
func readHead(ctx context.Context, table port.Table) (headRow, error) {
	row, err := table.Get(ctx, configTable, headKey)
	if err != nil {
		return headRow{}, err
	}
	var head headRow
	if row.Revision == 0 {
		return head, nil
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return headRow{}, result.Internal.Errorf("row config/head can't be decoded: %v", err)
	}
	head.revision = row.Revision
	return head, nil
}

// toConfigHead converts the row to the type that other plug-ins use.
func (h *headRow) toConfigHead() (port.ConfigHead, error) {
	if h.Version == 0 {
		return port.ConfigHead{}, nil
	}
	digest, err := config.ParseObjectKey(h.Object)
	return port.ConfigHead{Version: h.Version, Digest: digest}, err
}

// readObject returns content with the given digest. An object that is missing
// or has other content is stale: the table is ahead of the object store.
func readObject(ctx context.Context, objects port.Objects, v mesh.Version, digest mesh.Digest) ([]byte, error) {
	content, err := objects.GetObject(ctx, config.ObjectKey(digest))
	switch {
	case result.Of(err) == result.ObjectMissing:
		return nil, result.StaleObject.Errorf("version %d: the object store does not have object %s yet", v, config.ObjectKey(digest))
	case err != nil:
		return nil, err
	case config.DigestOf(content) != digest:
		return nil, result.StaleObject.Errorf("version %d: the object store returned other content for object %s", v, config.ObjectKey(digest))
	}
	return content, nil
}

// readSnapshot reads, decodes and validates the version that head names.
func readSnapshot(ctx context.Context, objects port.Objects, head port.ConfigHead) (*mesh.Snapshot, error) {
	content, err := readObject(ctx, objects, head.Version, head.Digest)
	if err != nil {
		return nil, err
	}
	records, err := config.Decode(content)
	if err != nil {
		return nil, err
	}
	return config.BuildExpected(head.Version, head.Digest, records)
}

// readVersion reads a version by its number. Its audit entry names its object.
func readVersion(ctx context.Context, table port.Table, objects port.Objects, v mesh.Version) (*mesh.Snapshot, error) {
	row, err := table.Get(ctx, port.AuditTable, port.AuditKey(port.ConfigStream, uint64(v)))
	if err != nil {
		return nil, err
	}
	if row.Revision == 0 {
		return nil, result.UnknownVersion.Errorf("configuration version %d does not exist", v)
	}
	var entry port.AuditEntry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return nil, result.Internal.Errorf("audit entry of version %d can't be decoded: %v", v, err)
	}
	digest, err := config.ParseObjectKey(entry.To)
	if err != nil {
		return nil, err
	}
	return readSnapshot(ctx, objects, port.ConfigHead{Version: v, Digest: digest})
}
