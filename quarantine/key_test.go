package quarantine_test

import (
	"testing"

	"pgregory.net/rapid"

	"pumiceford/quarantine"
)

// Two requests must have the same key only if all parts are equal, also where the parts differ
// only in how the bytes are divided between them.
func TestKeyDependsOnEachPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.StringMatching("[ab]{0,2}")
		draw := func(name string) [5]string {
			var p [5]string
			for i := range p {
				p[i] = part.Draw(t, name)
			}
			return p
		}
		key := func(p [5]string) quarantine.Key {
			return quarantine.NewKey(p[0], p[1], p[2], p[3], []byte(p[4]))
		}
		a, b := draw("a"), draw("b")
		if (a == b) != (key(a) == key(b)) {
			t.Fatalf("%q and %q: keys %s and %s", a, b, key(a), key(b))
		}
	})
}

func TestParseKeyRoundTrip(t *testing.T) {
	k := quarantine.NewKey("c", "POST", "h", "/", nil)
	if got, err := quarantine.ParseKey(k.String()); err != nil || got != k {
		t.Fatalf("ParseKey(%s) = %s, %v", k, got, err)
	}
	for _, s := range []string{"", "00", k.String() + "00", "x" + k.String()[1:]} {
		if _, err := quarantine.ParseKey(s); err == nil {
			t.Errorf("ParseKey(%q) did not fail", s)
		}
	}
}
