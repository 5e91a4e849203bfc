package platformtest

import (
	"encoding/json"
	"net/http"
)

const maxFaultsBytes = 64 << 10

// AdminHandler returns and replaces the faults of a store at GET and POST
// /faults and returns its counts at GET /stats.
func AdminHandler(store *Store) http.Handler {
	a := admin{store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", a.getFaults)
	mux.HandleFunc("POST /faults", a.setFaults)
	mux.HandleFunc("GET /stats", a.stats)
	return mux
}

type admin struct{ store *Store }

func (a admin) getFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.store.Faults()) }

func (a admin) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	a.store.SetFaults(f)
	writeJSON(w, a.store.Faults())
}

func (a admin) stats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.store.Stats()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // on an error the client gets a truncated answer
}
