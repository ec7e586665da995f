package losses

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"pumiceford/explain"
)

// text returns a field that is a string, "" when there is none.
func text(l explain.Line, key string) string {
	s, _ := l.Fields[key].(string)
	return s
}

// number returns a field that is a number, 0 when there is none.
func number(l explain.Line, key string) int64 {
	f, _ := l.Fields[key].(float64)
	return int64(f)
}

func millis(l explain.Line, key string) time.Duration {
	return time.Duration(number(l, key)) * time.Millisecond
}

// most names the seconds with the most losses.
func most(counts map[int64]int, n int) []string {
	seconds := slices.SortedFunc(maps.Keys(counts), func(a, b int64) int {
		return cmp.Or(counts[b]-counts[a], cmp.Compare(a, b))
	})
	var out []string
	for _, s := range seconds[:min(n, len(seconds))] {
		out = append(out, fmt.Sprintf("%s x%d", time.Unix(s, 0).UTC().Format(time.TimeOnly), counts[s]))
	}
	return out
}
