// Package explain extracts from the logs of several processes the timeline of one
// request, job or item, with related events at the same processes and targets.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is one line of a log.
type Line struct {
	Source  string // process that wrote it, or else the file
	Time    time.Time
	Level   string
	Message string
	Fields  map[string]any // all other fields
}

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Read returns the structured lines of a log and skips all others. The last word before a
// line's first brace, such as the host name after a time, replaces source for that line.
func Read(source string, r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var out []Line
	for scanner.Scan() {
		if l, ok := parse(source, scanner.Bytes()); ok {
			out = append(out, l)
		}
	}
	return out, errors.Wrapf(scanner.Err(), "log %s", source)
}

func parse(source string, raw []byte) (Line, bool) {
	brace := bytes.IndexByte(raw, '{')
	if brace < 0 {
		return Line{}, false
	}
	if before := strings.Fields(string(raw[:brace])); len(before) > 0 {
		source = before[len(before)-1]
	}
	l := Line{Source: source}
	if json.Unmarshal(raw[brace:], &l.Fields) != nil {
		return Line{}, false
	}
	timestamp, _ := l.Fields["time"].(string)
	var err error
	if l.Time, err = time.Parse(time.RFC3339Nano, timestamp); err != nil {
		return Line{}, false
	}
	l.Level, _ = l.Fields["level"].(string)
	l.Message, _ = l.Fields["message"].(string)
	for _, k := range []string{"time", "level", "message"} {
		delete(l.Fields, k)
	}
	return l, true
}

// Timeline holds the log lines that concern one ID.
type Timeline struct {
	Lines []Line // lines that mention the ID, ordered by time
	// Related holds lines from the same period that belong to no request, job or item and
	// come from the same processes, and lines of any process about the targets involved.
	Related []Line
}

// idFields are the fields that identify a request, job or item, or all attempts at one.
var idFields = []string{"request", "job", "item", "key"}

// contextMargin extends the period of related lines before the first line of an ID and
// after its last one: an ejection or outage just before a request decides where it is sent.
const contextMargin = 3 * time.Second

// Find returns the timeline of an ID in the lines of several logs. It sorts all by time in
// place.
func Find(all []Line, id string) Timeline {
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var t Timeline
	for _, l := range all {
		if l.mentions(id) {
			t.Lines = append(t.Lines, l)
		}
	}
	if len(t.Lines) == 0 {
		return t
	}
	from, to := t.window()
	sources, instances := make(map[string]bool), make(map[string]bool)
	for _, l := range t.Lines {
		sources[l.Source] = true
		if in, ok := l.Fields["instance"].(string); ok && in != "" {
			instances[in] = true
		}
	}
	for _, l := range all {
		if l.mentions(id) || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		if l.concerns(instances) || (sources[l.Source] && !l.hasID()) {
			t.Related = append(t.Related, l)
		}
	}
	return t
}

// window returns the period of related lines. It begins before the request arrived, which
// is its end less its duration, even if its first line was logged later.
func (t Timeline) window() (from, to time.Time) {
	from, to = t.Lines[0].Time, t.Lines[len(t.Lines)-1].Time
	for _, l := range t.Lines {
		took, _ := l.Fields["took_ms"].(float64)
		if start := l.Time.Add(-time.Duration(took) * time.Millisecond); start.Before(from) {
			from = start
		}
	}
	return from.Add(-contextMargin), to.Add(contextMargin)
}

func (l Line) mentions(id string) bool {
	for _, f := range idFields {
		// A job's ID may be prefixed with its workspace.
		if v, ok := l.Fields[f].(string); ok && (v == id || strings.HasSuffix(v, ":"+id)) {
			return true
		}
	}
	return false
}

// hasID reports whether a line belongs to some request, job or item.
func (l Line) hasID() bool {
	for _, f := range idFields {
		if _, ok := l.Fields[f]; ok {
			return true
		}
	}
	return false
}

// concerns reports whether a line is about a fault or the departure of one of the target
// instances.
func (l Line) concerns(instances map[string]bool) bool {
	in, ok := l.Fields["instance"].(string)
	if !ok || !instances[in] {
		return false
	}
	return l.Level != "info" || (!l.hasID() && !strings.HasSuffix(l.Message, "joined"))
}

// Write prints the timeline of an ID.
func (t Timeline) Write(w io.Writer, id string) error {
	if len(t.Lines) == 0 {
		_, err := fmt.Fprintf(w, "No line names %s. Either another process handled it or lines were dropped: search the logs for \"lines left out\".\n", id)
		return err
	}
	if _, err := fmt.Fprintf(w, "What happened to %s:\n", id); err != nil {
		return err
	}
	start := t.Lines[0].Time
	if err := writeLines(w, t.Lines, start); err != nil || len(t.Related) == 0 {
		return err
	}
	if _, err := fmt.Fprintln(w, "\nOther events at these processes and targets in the same period:"); err != nil {
		return err
	}
	return writeLines(w, t.Related, start)
}

func writeLines(w io.Writer, lines []Line, start time.Time) error {
	for _, l := range lines {
		var fields []string
		for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
			fields = append(fields, fmt.Sprintf("%s=%v", k, l.Fields[k]))
		}
		if _, err := fmt.Fprintf(w, "%+9.3fs %-22s %-5s %s  %s\n", l.Time.Sub(start).Seconds(), l.Source, l.Level, l.Message, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	return nil
}
