package port

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"teaselring/result"
)

// maxPeerAnswer is in bytes; answers to reports are far below.
const maxPeerAnswer = 256 << 10

// ReadPeer decodes a message of another node, of so many bytes at most, and
// refuses the request when it can't. It reports whether there is one.
func ReadPeer[T any](w http.ResponseWriter, r *http.Request, maxBytes int64) (message T, ok bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBytes))
	if err == nil {
		err = cbor.Unmarshal(body, &message)
	}
	if err != nil {
		Refuse(w, result.BadMessage.Errorf("%s: %v", r.URL.Path, err))
	}
	return message, err == nil
}

// TellPeer posts a message to another node's inbound edge and returns the body
// of its answer.
func TellPeer(ctx context.Context, client *http.Client, peer, path string, message []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+path, bytes.NewReader(message))
	if err != nil {
		return nil, err
	}
	answer, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxPeerAnswer))
	if err == nil && answer.StatusCode != http.StatusOK {
		err = result.BadMessage.Errorf("status %d", answer.StatusCode)
	}
	return content, err
}
