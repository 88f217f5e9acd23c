package storereplica

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"teaselring/decision/replica"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// rowsResponse is the response to another node's request for rows.
type rowsResponse struct {
	Rows    []replica.Row `cbor:"1,keyasint"`
	Listed  []string      `cbor:"2,keyasint"` // tables that the sender has listed
	Current bool          `cbor:"3,keyasint"` // the sender is connected to the store, directly or through other nodes
	Clock   time.Duration `cbor:"4,keyasint"` // of the store; 0: unknown
	Node    mesh.NodeID   `cbor:"5,keyasint"` // the sender
}

// rowsClient requests rows from other nodes.
type rowsClient struct {
	rows *port.RowsCell
	http *http.Client
}

func newRowsClient(rows *port.RowsCell) *rowsClient {
	return &rowsClient{rows: rows, http: &http.Client{Transport: port.NewTransport(&http.Transport{
		DialContext:     (&net.Dialer{Timeout: connectTimeout}).DialContext,
		IdleConnTimeout: 5 * time.Second, DisableCompression: true,
	})}}
}

// fetchFrom returns a node's rows that are newer than those of this node, as soon as there
// are any or after wait.
func (c *rowsClient) fetchFrom(ctx context.Context, m *mesh.Member, wait time.Duration) (*rowsResponse, error) {
	newer, err := c.fetch(ctx, m.PeerAddress, wait)
	if err == nil && newer.Node != m.Node {
		// Addresses of removed machines are reused. Two nodes that each mistook the
		// other for an earlier node in the order reported each other as connected.
		return nil, result.WrongIncarnation.Errorf("node %q has the address %s", newer.Node, m.PeerAddress)
	}
	return newer, err
}

func (c *rowsClient) fetch(ctx context.Context, peer string, wait time.Duration) (*rowsResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+rowsPath, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set(port.SeenHeader, port.FormatSeen(c.rows.Load().Seen()))
	request.Header.Set(waitHeader, strconv.FormatInt(wait.Milliseconds(), 10))
	deadline := time.AfterFunc(wait+responseTimeout, cancel)
	defer func() { deadline.Stop() }()
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if deadline.Stop() {
		deadline = time.AfterFunc(bodyTimeout, cancel)
	}
	return decodeRows(response.Body)
}

// encodeRows encodes and compresses a response. A configuration shrinks to about an
// eighth, which matters when one node on a slow link serves all others of its zone.
func encodeRows(response *rowsResponse) ([]byte, error) {
	var out bytes.Buffer
	compressor, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := cbor.NewEncoder(compressor).Encode(response); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decodeRows(in io.Reader) (*rowsResponse, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(in), maxResponseBytes))
	if err != nil {
		return nil, err
	}
	var newer rowsResponse
	return &newer, cbor.Unmarshal(body, &newer)
}
