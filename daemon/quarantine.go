package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"pumiceford/quarantine"
)

// SuspectRequest describes to operators a request, or a part of prompts, that crashes of targets are attributed to.
type SuspectRequest struct {
	Key     string    `json:"key"`
	Part    string    `json:"part,omitempty"` // ID of a part of prompts; "" for a request
	Held    bool      `json:"held"`
	Until   time.Time `json:"until"`   // end of the hold, if the request is held
	Crashed []string  `json:"crashed"` // instances that crashed while running it, oldest first
}

// quarantineHandler registers the endpoints that list the requests to which crashes are
// attributed, and that clear one of them.
func quarantineHandler(mux *http.ServeMux, tracker *quarantine.Tracker) {
	mux.HandleFunc("GET /quarantine", func(w http.ResponseWriter, _ *http.Request) {
		all := []SuspectRequest{}
		for _, c := range tracker.Suspects() {
			r := SuspectRequest{Key: c.Key.String(), Part: c.Part, Held: c.Held, Until: c.Until}
			for _, m := range c.Crashes {
				r.Crashed = append(r.Crashed, m.Target.ID)
			}
			all = append(all, r)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(all) // fails only when the client has disconnected
	})
	mux.HandleFunc("DELETE /quarantine/{key}", func(w http.ResponseWriter, r *http.Request) {
		key, err := quarantine.ParseKey(r.PathValue("key"))
		switch {
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
		case !tracker.Clear(key):
			http.Error(w, "nothing counts against this request", http.StatusNotFound)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	})
}
