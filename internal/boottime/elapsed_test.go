package boottime_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// elapsedOnWallClock matches the time since a moment that was stored as Unix nanoseconds. Only a
// process that reads its own moments stores nanoseconds.
var elapsedOnWallClock = regexp.MustCompile(`time\.(Since|Until)\(time\.Unix\(0,`)

// Guards against sessions that end, or work that counts as over, because the time of day of the host
// was changed: elapsed time within a process is measured on a monotonic clock.
func TestElapsedTimeIsNotMeasuredOnTheTimeOfDay(t *testing.T) {
	const root = "../.."
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for n, line := range strings.Split(string(data), "\n") {
			if elapsedOnWallClock.MatchString(line) {
				t.Errorf("%s:%d: %s", path, n+1, strings.TrimSpace(line))
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
