package catalog_test

import (
	"testing"

	"pumiceford/catalog"
)

// Guards against a workspace that was sold more and gets no more, and against one without a
// rate that counts for less or more than the others without one.
func TestWeightIsWhatWasSold(t *testing.T) {
	ws := []catalog.Workspace{{Name: "small", Rate: 10}, {Name: "large", Rate: 30}, {Name: "free"}, {Name: "free2"}}
	c := catalog.New(1, catalog.Limits{}, nil, nil).WithWorkspaces(ws)
	for name, want := range map[string]float64{"small": 10, "large": 30, "free": 20, "free2": 20, "unknown": 20} {
		if got := c.Weight(c.Workspace(name)); got != want {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
	without := catalog.New(1, catalog.Limits{}, nil, nil).WithWorkspaces([]catalog.Workspace{{Name: "a"}, {Name: "b"}})
	if a, b := without.Weight(without.Workspace("a")), without.Weight(without.Workspace("b")); a != 1 || b != 1 {
		t.Errorf("without rates: %v and %v", a, b)
	}
	if got := (*catalog.Catalog)(nil).Weight(nil); got != 1 {
		t.Errorf("without a catalog: %v", got)
	}
}
