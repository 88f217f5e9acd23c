package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"teaselring/plugins/platformmemory"
	"teaselring/port"
	"teaselring/result"
	"teaselring/test/standin"
)

// The protocol's messages are declared independently of the client's, so that a
// mistake in its encoding fails tests.
type (
	row struct {
		Table    string `json:"table,omitempty"`
		Key      string `json:"key,omitempty"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
	}
	check struct {
		Table    string `json:"table"`
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	}
	put struct {
		Table string `json:"table"`
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}
	remove struct {
		Table string `json:"table"`
		Key   string `json:"key"`
	}
	transaction struct {
		Checks  []check  `json:"checks"`
		Puts    []put    `json:"puts"`
		Deletes []remove `json:"deletes"`
	}
)

// maxBody is in bytes; a configuration version has at most 4 MiB.
const maxBody = 16 << 20

type handler struct {
	store   *platformmemory.Store
	gate    *gate
	journal *standin.Journal
}

func newHandler(store *platformmemory.Store, g *gate, j *standin.Journal) http.Handler {
	h := &handler{store: store, gate: g, journal: j}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows/{table}/{key}", h.withFaults(false, h.get))
	mux.HandleFunc("GET /v1/rows/{table}", h.withFaults(false, h.scan))
	mux.HandleFunc("POST /v1/txn", h.withFaults(true, h.transact))
	mux.HandleFunc("PUT /v1/objects/{key}", h.withFaults(true, h.putObject))
	mux.HandleFunc("GET /v1/objects/{key}", h.withFaults(false, h.getObject))
	mux.HandleFunc("POST /control", standin.Control(g, func(s *state) *faults { return &s.faults }))
	mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, r *http.Request) {
		standin.WriteJSON(w, http.StatusOK, standin.Query(r.Context(), g, func(s *state) stats { return s.stats }))
	})
	return mux
}

// reply is a response that has not been sent. A nil body is empty, bytes are sent
// unchanged and anything else as JSON.
type reply struct {
	status int
	body   any
	entry  *standin.Write // journal line, nil for none
}

// withFaults applies the faults to a request. The body is read first, because net/http
// detects a client's disconnect only after that.
func (h *handler) withFaults(write bool, serve func(context.Context, *http.Request, []byte) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		v := standin.Query(r.Context(), h.gate, func(s *state) admission { return s.admit(write, time.Now()) })
		if !applyDelay(r.Context(), v) {
			return
		}
		if v.status != 0 {
			w.WriteHeader(v.status)
			return
		}
		// An admitted write is applied even when its sender has disconnected.
		ctx := context.WithoutCancel(r.Context())
		response := serve(ctx, r, body)
		if response.entry != nil {
			response.entry.At, response.entry.Lost = time.Now(), v.dropResponse
			h.journal.Write(ctx, response.entry)
		}
		if v.dropResponse {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		response.send(w)
	}
}

func (a reply) send(w http.ResponseWriter) {
	switch body := a.body.(type) {
	case nil:
		w.WriteHeader(a.status)
	case []byte:
		w.WriteHeader(a.status)
		_, _ = w.Write(body)
	default:
		standin.WriteJSON(w, a.status, body)
	}
}

// errorResponse maps an error of the in-memory store to a reply.
func errorResponse(err error) reply {
	code := result.Of(err)
	if code == result.ObjectMissing {
		return reply{status: http.StatusNotFound}
	}
	return reply{status: code.Status}
}

func (h *handler) get(ctx context.Context, r *http.Request, _ []byte) reply {
	found, err := h.store.Get(ctx, r.PathValue("table"), r.PathValue("key"))
	if err != nil {
		return errorResponse(err)
	}
	if found.Revision == 0 {
		return reply{status: http.StatusNotFound}
	}
	return reply{status: http.StatusOK, body: row{Value: found.Value, Revision: found.Revision}}
}

func (h *handler) scan(ctx context.Context, r *http.Request, _ []byte) reply {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		return reply{status: http.StatusBadRequest}
	}
	found, err := h.store.Scan(ctx, r.PathValue("table"), query.Get("prefix"), query.Get("after"), limit)
	if err != nil {
		return errorResponse(err)
	}
	rows := make([]row, len(found))
	for i, f := range found {
		rows[i] = row{Key: f.Key, Value: f.Value, Revision: f.Revision}
	}
	return reply{status: http.StatusOK, body: map[string]any{"rows": rows}}
}

func (h *handler) transact(ctx context.Context, _ *http.Request, body []byte) reply {
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil {
		return reply{status: http.StatusBadRequest}
	}
	var txn port.Txn
	line := &standin.Write{}
	for _, c := range t.Checks {
		txn.Checks = append(txn.Checks, port.Check(c))
	}
	for _, p := range t.Puts {
		txn.Puts = append(txn.Puts, port.Put(p))
		line.Puts = append(line.Puts, p.Table+"/"+p.Key)
	}
	for _, d := range t.Deletes {
		txn.Deletes = append(txn.Deletes, port.Delete(d))
		line.Deletes = append(line.Deletes, d.Table+"/"+d.Key)
	}
	outcome, err := h.store.Apply(ctx, txn)
	if err != nil {
		return errorResponse(err)
	}
	conflicts := []row{}
	for _, c := range outcome.Conflicts {
		conflicts = append(conflicts, row{Table: c.Table, Key: c.Row.Key, Value: c.Row.Value, Revision: c.Row.Revision})
		line.Conflicts = append(line.Conflicts, c.Table+"/"+c.Row.Key)
	}
	if len(conflicts) > 0 {
		return reply{status: http.StatusConflict, body: map[string]any{"conflicts": conflicts}, entry: line}
	}
	line.Revision = outcome.Revision
	return reply{status: http.StatusOK, body: map[string]any{"revision": outcome.Revision}, entry: line}
}

func (h *handler) putObject(ctx context.Context, r *http.Request, body []byte) reply {
	key := r.PathValue("key")
	if err := h.store.PutObject(ctx, key, body); err != nil {
		return errorResponse(err)
	}
	standin.Query(ctx, h.gate, func(s *state) bool { return s.putObject(key) })
	return reply{status: http.StatusOK, entry: &standin.Write{Object: key}}
}

func (h *handler) getObject(ctx context.Context, r *http.Request, _ []byte) reply {
	key := standin.Query(ctx, h.gate, func(s *state) string { return s.resolveRead(r.PathValue("key")) })
	content, err := h.store.GetObject(ctx, key)
	if err != nil {
		return errorResponse(err)
	}
	return reply{status: http.StatusOK, body: content}
}
