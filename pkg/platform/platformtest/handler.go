package platformtest

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

const (
	maxCommitBody = 16 << 20 // bytes
	maxFaultsBody = 64 << 10 // bytes
)

// Handler returns the HTTP protocol of the platform over a store, with GET and
// POST /faults to read and switch the faults and GET /stats for the counts.
// An answer that is lost shows as a connection that breaks.
func Handler(store *Store) http.Handler {
	h := handler{store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row/{key...}", h.getRow)
	mux.HandleFunc("GET /table/rows", h.listRows)
	mux.HandleFunc("POST /table/commit", h.commit)
	mux.HandleFunc("PUT /objects/{hash}", h.putObject)
	mux.HandleFunc("GET /objects/{hash}", h.getObject)
	mux.HandleFunc("GET /faults", h.getFaults)
	mux.HandleFunc("POST /faults", h.setFaults)
	mux.HandleFunc("GET /stats", h.stats)
	return mux
}

type handler struct{ store *Store }

func (h handler) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := h.store.Get(r.Context(), r.PathValue("key"))
	reply(w, row, err)
}

func (h handler) listRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		http.Error(w, "limit is not a number", http.StatusBadRequest)
		return
	}
	rows, err := h.store.List(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	reply(w, rows, err)
}

func (h handler) commit(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommitBody)).Decode(&txn); err != nil {
		http.Error(w, "transaction: "+err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, struct{}{}, h.store.Commit(r.Context(), txn))
}

func (h handler) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxObjectSize))
	if err != nil {
		http.Error(w, "object: "+err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, struct{}{}, h.store.Objects().Put(r.Context(), r.PathValue("hash"), data))
}

func (h handler) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := h.store.rawObject(r.Context(), r.PathValue("hash"))
	if err != nil {
		replyError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (h handler) getFaults(w http.ResponseWriter, _ *http.Request) {
	reply(w, h.store.Faults(), nil)
}

func (h handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	h.store.SetFaults(f)
	reply(w, h.store.Faults(), nil)
}

func (h handler) stats(w http.ResponseWriter, _ *http.Request) {
	reply(w, h.store.Stats(), nil)
}

func reply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		replyError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func replyError(w http.ResponseWriter, err error) {
	var limited *platform.RateLimitedError
	code := http.StatusBadRequest
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler) // breaks the connection without an answer
	case errors.Is(err, platform.ErrNotFound):
		code = http.StatusNotFound
	case errors.Is(err, platform.ErrConflict):
		code = http.StatusConflict
	case errors.Is(err, platform.ErrUnavailable):
		code = http.StatusServiceUnavailable
	case errors.As(err, &limited):
		code = http.StatusTooManyRequests
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(limited.RetryAfter)/float64(time.Second)))))
	}
	http.Error(w, err.Error(), code)
}
