package losses

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"pumiceford/explain"
)

// stringField returns a string field, or "" if it is missing or not a string.
func stringField(l explain.Line, key string) string {
	s, _ := l.Fields[key].(string)
	return s
}

// intField returns a numeric field truncated to an integer, or 0 if it is missing or not a
// number.
func intField(l explain.Line, key string) int64 {
	f, _ := l.Fields[key].(float64)
	return int64(f)
}

// millisField returns a numeric field in milliseconds as a duration.
func millisField(l explain.Line, key string) time.Duration {
	return time.Duration(intField(l, key)) * time.Millisecond
}

// busiestSeconds returns the n seconds with the highest counts, each as "TIME xCOUNT".
func busiestSeconds(counts map[int64]int, n int) []string {
	seconds := slices.SortedFunc(maps.Keys(counts), func(a, b int64) int {
		return cmp.Or(counts[b]-counts[a], cmp.Compare(a, b))
	})
	var out []string
	for _, s := range seconds[:min(n, len(seconds))] {
		out = append(out, fmt.Sprintf("%s x%d", time.Unix(s, 0).UTC().Format(time.TimeOnly), counts[s]))
	}
	return out
}
