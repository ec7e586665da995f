package bench

import (
	"os"
	"testing"
)

// Symptom: the capacity page tells figures that no run gave. Sequence: slopes are
// recorded anew, or the sums change, and the page stays. Cause guarded against:
// tables edited by hand.
func TestPageFollowsFromSlopes(t *testing.T) {
	c, err := LoadCapacity("../docs/capacity.json")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	_, tables, _, err := splitPage(string(text))
	if err != nil {
		t.Fatal(err)
	}
	if tables != c.Page() {
		t.Fatal("docs/CAPACITY.md is not what docs/capacity.json gives; run pumice-bench page")
	}
	for _, s := range c.Slopes {
		if len(s.Points) < 4 {
			t.Errorf("slope %s has %d points", s.Name, len(s.Points))
		}
	}
}

func TestFit(t *testing.T) {
	s := Fit("line", "", []Point{{1, 5}, {2, 7}, {3, 9}, {4, 11}})
	if s.Per != 2 || s.Base != 3 || s.Error > 1e-9 {
		t.Fatalf("%+v", s)
	}
}
