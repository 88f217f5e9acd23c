package port

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"teaselring/result"
)

// maxPeerResponse is in bytes; responses to reports are far smaller.
const maxPeerResponse = 256 << 10

// DecodePeerMessage decodes a message of another node from at most maxBytes of the
// request body. If that fails, it refuses the request and returns false.
func DecodePeerMessage[T any](w http.ResponseWriter, r *http.Request, maxBytes int64) (message T, ok bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBytes))
	if err == nil {
		err = cbor.Unmarshal(body, &message)
	}
	if err != nil {
		Refuse(w, result.BadMessage.Errorf("%s: %v", r.URL.Path, err))
	}
	return message, err == nil
}

// PostToPeer posts a message to another node's inbound edge and returns the body
// of the response.
func PostToPeer(ctx context.Context, client *http.Client, peer, path string, message []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+path, bytes.NewReader(message))
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxPeerResponse))
	if err == nil && response.StatusCode != http.StatusOK {
		err = result.BadMessage.Errorf("status %d", response.StatusCode)
	}
	return content, err
}
