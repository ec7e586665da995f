package jobs_test

import (
	"testing"

	"pgregory.net/rapid"

	"pumiceford/jobs"
)

// Guards against jobs of two workspaces that share an ID, and against IDs that are too long
// for a store key.
func TestScopedIDsAreUnique(t *testing.T) {
	const maxID, maxKey, keyRest = 200, 255, len("/failures/000000/000")
	rapid.Check(t, func(t *rapid.T) {
		name, id := rapid.String(), rapid.StringN(1, -1, maxID)
		wsA, wsB := name.Draw(t, "a"), name.Draw(t, "b")
		idA, idB := id.Draw(t, "id a"), id.Draw(t, "id b")
		a, b := jobs.ScopedID(wsA, idA), jobs.ScopedID(wsB, idB)
		if a == b && (wsA != wsB || idA != idB) {
			t.Fatalf("%q/%q and %q/%q share the ID %q", wsA, idA, wsB, idB, a)
		}
		if len(a) > maxKey-keyRest {
			t.Fatalf("scoped ID of %d bytes for an ID of %d bytes", len(a), len(idA))
		}
	})
}
