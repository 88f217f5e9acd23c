package operator

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/url"
	"strconv"

	"teaselring/mesh"
	"teaselring/result"
)

// NewID returns an id for a publication or a move.
func NewID() string { return rand.Text()[:16] }

func (r *ApplyRequest) query() url.Values {
	query := url.Values{"base": {strconv.FormatUint(uint64(r.Base), 10)}}
	if r.Why != "" {
		query.Set("why", r.Why)
	}
	for _, key := range r.Remove {
		query.Add("remove", string(key.Kind)+"/"+key.ID)
	}
	return query
}

// Apply publishes records. It generates the publication id if there is none, and
// repeats the request with the same id while responses are lost.
func (c *Client) Apply(ctx context.Context, request ApplyRequest) (ApplyResponse, error) {
	if request.Publication == "" {
		request.Publication = NewID()
	}
	query := request.query()
	query.Set("publication", request.Publication)
	path := PathApply + "?" + query.Encode()
	return retryIdempotent(ctx, c, "publication "+request.Publication, func(ctx context.Context, _ bool) (ApplyResponse, error) {
		return decode[ApplyResponse](c.send(ctx, http.MethodPost, path, ContentTOML, request.Records))
	})
}

// Validate checks records without writing anything.
func (c *Client) Validate(ctx context.Context, request ApplyRequest) (ValidateResponse, error) {
	path := PathValidate + "?" + request.query().Encode()
	return decode[ValidateResponse](c.send(ctx, http.MethodPost, path, ContentTOML, request.Records))
}

// Records returns the records of a version, or of the one in force when it is 0.
func (c *Client) Records(ctx context.Context, version mesh.Version) (Records, error) {
	path := PathRecords
	if version != 0 {
		path += "?version=" + strconv.FormatUint(uint64(version), 10)
	}
	response, err := c.send(ctx, http.MethodGet, path, "", nil)
	if err != nil {
		return Records{}, err
	}
	number, err := strconv.ParseUint(response.header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return Records{}, result.BadMessage.Errorf("response without header %s: %v", HeaderVersion, err)
	}
	return Records{Version: mesh.Version(number), TOML: string(response.body)}, nil
}

// Diff compares two versions.
func (c *Client) Diff(ctx context.Context, from, to mesh.Version) (DiffResponse, error) {
	query := url.Values{
		"from": {strconv.FormatUint(uint64(from), 10)},
		"to":   {strconv.FormatUint(uint64(to), 10)},
	}
	return call[DiffResponse](ctx, c, http.MethodGet, PathDiff+"?"+query.Encode(), nil)
}

// Status returns the node's view of all nodes.
func (c *Client) Status(ctx context.Context) (StatusResponse, error) {
	return call[StatusResponse](ctx, c, http.MethodGet, PathStatus, nil)
}

// StartMove declares a move. It generates the id if there is none. After a lost
// response, a refusal because of a move in progress may refer to this same move.
func (c *Client) StartMove(ctx context.Context, request StartMoveRequest) (mesh.Move, error) {
	if request.ID == "" {
		request.ID = mesh.MoveID(NewID())
	}
	return retryIdempotent(ctx, c, "move "+string(request.ID), func(ctx context.Context, lost bool) (mesh.Move, error) {
		move, err := call[mesh.Move](ctx, c, http.MethodPost, PathMoves, request)
		if !lost || result.Of(err) != result.MoveInProgress {
			return move, err
		}
		found, lookupErr := c.Move(ctx, request.ID)
		if result.Of(lookupErr) == result.MoveNotFound {
			return move, err
		}
		return found, lookupErr
	})
}

// Moves lists the moves known to the node.
func (c *Client) Moves(ctx context.Context) (MovesResponse, error) {
	return call[MovesResponse](ctx, c, http.MethodGet, PathMoves, nil)
}

// Move returns one move.
func (c *Client) Move(ctx context.Context, id mesh.MoveID) (mesh.Move, error) {
	return call[mesh.Move](ctx, c, http.MethodGet, movePath(id), nil)
}

func movePath(id mesh.MoveID) string { return PathMoves + "/" + url.PathEscape(string(id)) }

// TakeBack requests that a move be taken back. After a lost response, a refusal
// because the move has ended counts as success if the move was taken back.
func (c *Client) TakeBack(ctx context.Context, id mesh.MoveID, why string) (mesh.Move, error) {
	return retryIdempotent(ctx, c, "move "+string(id), func(ctx context.Context, lost bool) (mesh.Move, error) {
		move, err := call[mesh.Move](ctx, c, http.MethodPost, movePath(id)+"/take-back", TakeBackRequest{Why: why})
		if !lost || result.Of(err) != result.MoveEnded {
			return move, err
		}
		ended, lookupErr := c.Move(ctx, id)
		if lookupErr != nil || ended.Phase != mesh.MoveTakenBack {
			return move, err
		}
		return ended, nil
	})
}

// WatchMove polls a move until it has ended and calls onChange with each change.
// It retries transient errors until ctx ends.
func (c *Client) WatchMove(ctx context.Context, id mesh.MoveID, onChange func(mesh.Move)) (mesh.Move, error) {
	var last mesh.Move
	for {
		move, err := runAttempt(ctx, false, func(ctx context.Context, _ bool) (mesh.Move, error) { return c.Move(ctx, id) })
		switch {
		case err != nil && !transient(err):
			return last, err
		case err != nil:
			c.progress("move %s: %v; trying again", id, err)
		case move.Newer(&last) || last.ID == "":
			last = move
			onChange(move)
		}
		if last.Phase.Ended() {
			return last, nil
		}
		if !sleep(ctx, pollInterval) {
			return last, context.Cause(ctx)
		}
	}
}

// Drain marks the upstream beside a node as draining.
func (c *Client) Drain(ctx context.Context, node mesh.NodeID) error {
	_, err := retryIdempotent(ctx, c, "drain of "+string(node), func(ctx context.Context, _ bool) (struct{}, error) {
		return call[struct{}](ctx, c, http.MethodPost, PathDrain, DrainRequest{Node: node})
	})
	return err
}

// Audit returns at most limit entries of a stream after a sequence number.
func (c *Client) Audit(ctx context.Context, stream string, after uint64, limit int) (AuditResponse, error) {
	query := url.Values{
		"stream": {stream},
		"after":  {strconv.FormatUint(after, 10)},
		"limit":  {strconv.Itoa(limit)},
	}
	return call[AuditResponse](ctx, c, http.MethodGet, PathAudit+"?"+query.Encode(), nil)
}

// SetLogLevel changes the log level of the node until it restarts.
func (c *Client) SetLogLevel(ctx context.Context, level string) error {
	_, err := call[struct{}](ctx, c, http.MethodPut, PathLogLevel, LogLevelRequest{Level: level})
	return err
}
