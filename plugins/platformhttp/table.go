package platformhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"teaselring/port"
	"teaselring/result"
)

// rowJSON is a row in the protocol. Value is base64 in JSON.
type rowJSON struct {
	Table    string `json:"table,omitempty"` // in conflicts
	Key      string `json:"key,omitempty"`   // in scans and conflicts
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// rowsJSON is the response to a scan.
type rowsJSON struct {
	Rows []rowJSON `json:"rows"`
}

// txnJSON is a transaction in the protocol.
type txnJSON struct {
	Checks  []checkJSON  `json:"checks"`
	Puts    []putJSON    `json:"puts"`
	Deletes []deleteJSON `json:"deletes"`
}

// checkJSON requires a revision; 0 requires that the row is absent.
type checkJSON struct {
	Table    string `json:"table"`
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// putJSON writes a row.
type putJSON struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// deleteJSON names a row to delete.
type deleteJSON struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// conflictsJSON is the response to a transaction that was not written.
type conflictsJSON struct {
	Conflicts []rowJSON `json:"conflicts"`
}

// Get implements port.Table.
func (c *Client) Get(ctx context.Context, table, key string) (port.Row, error) {
	resp, err := c.read(ctx, escapePath("/v1/rows", table, key))
	if err != nil {
		return port.Row{}, err
	}
	switch resp.status {
	case http.StatusNotFound:
		return port.Row{Key: key}, nil
	case http.StatusOK:
		var row rowJSON
		if err := decode(resp, &row); err != nil {
			return port.Row{}, err
		}
		return port.Row{Key: key, Value: row.Value, Revision: row.Revision}, nil
	}
	return port.Row{}, unexpectedStatus(resp)
}

// Scan implements port.Table.
func (c *Client) Scan(ctx context.Context, table, prefix, after string, limit int) ([]port.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	resp, err := c.read(ctx, escapePath("/v1/rows", table)+"?"+query.Encode())
	if err != nil {
		return nil, err
	}
	if resp.status != http.StatusOK {
		return nil, unexpectedStatus(resp)
	}
	var page rowsJSON
	if err := decode(resp, &page); err != nil {
		return nil, err
	}
	found := make([]port.Row, len(page.Rows))
	for i, row := range page.Rows {
		found[i] = port.Row{Key: row.Key, Value: row.Value, Revision: row.Revision}
	}
	return found, nil
}

// Commit implements port.Table.
func (c *Client) Commit(ctx context.Context, txn port.Txn) error {
	body, err := json.Marshal(encodeTxn(txn))
	if err != nil {
		return result.AsError(err)
	}
	resp, err := c.write(ctx, http.MethodPost, "/v1/txn", body)
	if err != nil {
		return err
	}
	switch resp.status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return conflict(resp)
	}
	return unexpectedStatus(resp)
}

func encodeTxn(txn port.Txn) txnJSON {
	var out txnJSON
	for _, c := range txn.Checks {
		out.Checks = append(out.Checks, checkJSON(c))
	}
	for _, p := range txn.Puts {
		out.Puts = append(out.Puts, putJSON(p))
	}
	for _, d := range txn.Deletes {
		out.Deletes = append(out.Deletes, deleteJSON(d))
	}
	return out
}

// conflict returns an error with the first row that changed. The status alone
// shows that nothing was written, so a body that can't be decoded does not change
// the code.
func conflict(resp response) error {
	var body conflictsJSON
	if err := decode(resp, &body); err != nil || len(body.Conflicts) == 0 {
		return result.RowConflict.Err()
	}
	row := body.Conflicts[0]
	revision := strconv.FormatUint(row.Revision, 10)
	return result.RowConflict.Errorf("row %s/%s has revision %s", row.Table, row.Key, revision).
		With("table", row.Table).With("key", row.Key).With("revision", revision)
}

func decode(resp response, into any) error {
	if err := json.Unmarshal(resp.body, into); err != nil {
		return result.Internal.Errorf("platform: response can't be decoded: %v", err)
	}
	return nil
}

// PutObject implements port.Objects.
func (c *Client) PutObject(ctx context.Context, key string, content []byte) error {
	resp, err := c.write(ctx, http.MethodPut, escapePath("/v1/objects", key), content)
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return unexpectedStatus(resp)
	}
	return nil
}

// GetObject implements port.Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	resp, err := c.read(ctx, escapePath("/v1/objects", key))
	if err != nil {
		return nil, err
	}
	switch resp.status {
	case http.StatusOK:
		return resp.body, nil
	case http.StatusNotFound:
		return nil, result.ObjectMissing.Errorf("object %q does not exist", key)
	}
	return nil, unexpectedStatus(resp)
}

var (
	_ port.Table   = (*Client)(nil)
	_ port.Objects = (*Client)(nil)
)
