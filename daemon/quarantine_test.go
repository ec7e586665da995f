package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"pumiceford/metrics"
	"pumiceford/quarantine"
	"pumiceford/targets"
)

// crashedProber reports every instance as crashed.
type crashedProber struct{}

func (crashedProber) Crashed(context.Context, targets.Instance) bool { return true }

// Operators can list held requests with the crashed instances, and clear them. An invalid
// key is answered with 400, a key without a record with 404.
func TestListAndClearHeldRequests(t *testing.T) {
	ms := metrics.New("n")
	tracker := quarantine.NewTracker(quarantine.Config{Prober: crashedProber{}, Metrics: ms})
	key := quarantine.NewKey("", "POST", "h", "/", nil)
	for _, id := range []string{"a", "b", "c"} {
		tracker.RecordBroken(t.Context(), quarantine.BrokenRun{Attempt: &quarantine.Attempt{Content: quarantine.Content{Key: key}}, Target: targets.Instance{ID: id}})
	}
	h := opsHandler(ms, tracker)
	call := func(method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w
	}
	var all []SuspectRequest
	if err := json.Unmarshal(call("GET", "/quarantine").Body.Bytes(), &all); err != nil {
		t.Fatal(err)
	}
	if len(all) != 1 || all[0].Key != key.String() || !all[0].Held || len(all[0].Crashed) != 3 {
		t.Fatalf("got %+v, want the held request with 3 crashes", all)
	}
	for _, c := range []struct {
		path string
		want int
	}{
		{"/quarantine/nonsense", http.StatusBadRequest},
		{"/quarantine/" + key.String(), http.StatusNoContent},
		{"/quarantine/" + key.String(), http.StatusNotFound},
	} {
		if w := call("DELETE", c.path); w.Code != c.want {
			t.Errorf("DELETE %s: status %d, want %d", c.path, w.Code, c.want)
		}
	}
	if tracker.Held(quarantine.Content{Key: key}) != nil {
		t.Error("request is still held after it was cleared")
	}
}
