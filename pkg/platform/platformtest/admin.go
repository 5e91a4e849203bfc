package platformtest

import (
	"encoding/json"
	"net/http"
)

const maxFaultsBody = 64 << 10 // bytes

// AdminHandler reads and switches the faults of a store at GET and POST /faults
// and shows its counts at GET /stats.
func AdminHandler(store *Store) http.Handler {
	a := admin{store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", a.getFaults)
	mux.HandleFunc("POST /faults", a.setFaults)
	mux.HandleFunc("GET /stats", a.stats)
	return mux
}

type admin struct{ store *Store }

func (a admin) getFaults(w http.ResponseWriter, _ *http.Request) { reply(w, a.store.Faults()) }

func (a admin) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	a.store.SetFaults(f)
	reply(w, a.store.Faults())
}

func (a admin) stats(w http.ResponseWriter, _ *http.Request) { reply(w, a.store.Stats()) }

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the reader sees a short answer
}
