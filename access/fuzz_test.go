package access

import (
	"strings"
	"testing"
)

// Guards against a key that is parsed from a header without a key or with several.
func FuzzCredentials(f *testing.F) {
	for _, s := range []string{"Bearer k", "bearer  k ", "Bearer", "Basic k", "Bearer a b", "Bearer\tk", "Bearer \x00\xff", strings.Repeat("B", 9000)} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, value string) {
		key, ok := parseBearer([]string{value})
		if ok && (key == "" || strings.ContainsAny(key, " \t") || !strings.HasSuffix(strings.TrimRight(value, " "), key)) {
			t.Errorf("%q gives the key %q", value, key)
		}
		if _, twice := parseBearer([]string{value, value}); twice {
			t.Errorf("two values give a key")
		}
	})
}
