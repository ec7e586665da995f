package explain_test

import (
	"bytes"
	"strings"
	"testing"

	"pumiceford/explain"
)

const entryLog = `not a structured line
{"time":"2026-01-01T00:00:00.000Z","level":"info","version":7,"message":"fleet: catalog in force"}
{"time":"2026-01-01T00:00:09.500Z","level":"warn","instance":"i-1","why":"silent","request":"other","message":"online: target ejected"}
{"time":"2026-01-01T00:00:10.000Z","level":"info","request":"r1","instance":"i-1","error":"reset","message":"online: sent again; its answer is lost"}
{"time":"2026-01-01T00:00:10.400Z","level":"info","request":"r1","instance":"i-2","outcome":"lost","took_ms":900,"message":"online: request ended"}
{"time":"2026-01-01T00:00:10.500Z","level":"info","request":"r2","instance":"i-2","outcome":"served","message":"online: request ended"}
{"time":"2026-01-01T00:00:11.000Z","level":"warn","message":"entry: store does not answer; what is known stays in force"}
`

const otherLogs = `  12.3 agent-1 {"time":"2026-01-01T00:00:09.900Z","level":"warn","message":"agent: target does not answer"}
  12.4 entry-2 {"time":"2026-01-01T00:00:10.100Z","level":"info","instance":"i-1","message":"fleet: target gone"}
  12.5 entry-2 {"time":"2026-01-01T00:01:10.100Z","level":"info","instance":"i-1","message":"fleet: target joined"}
`

func lines(t *testing.T) []explain.Line {
	t.Helper()
	var all []explain.Line
	for source, text := range map[string]string{"entry-1": entryLog, "rest": otherLogs} {
		got, err := explain.Read(source, strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, got...)
	}
	return all
}

// The timeline of a request combines the logs of several processes into the cause of its
// failure.
func TestTimelineContainsCause(t *testing.T) {
	s := explain.Find(lines(t), "r1")
	var out bytes.Buffer
	if err := s.Write(&out, "r1"); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	for _, want := range []string{"outcome=lost", "sent again", "target ejected", "target gone", "store does not answer"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	for _, other := range []string{"r2", "catalog in force", "target joined", "target does not answer"} {
		if strings.Contains(text, other) {
			t.Errorf("unrelated text %q in\n%s", other, text)
		}
	}
	if strings.Index(text, "sent again") > strings.Index(text, "outcome=lost") {
		t.Error("lines are not ordered by time")
	}
}

func TestReportsUnknownID(t *testing.T) {
	var out bytes.Buffer
	if err := explain.Find(lines(t), "nothing").Write(&out, "nothing"); err != nil || !strings.Contains(out.String(), "No line names nothing") {
		t.Fatalf("got %q, %v; want a message that no line names the ID", out.String(), err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(entryLog)
	f.Add(`{"time":3}{`)
	f.Fuzz(func(t *testing.T, text string) {
		got, err := explain.Read("x", strings.NewReader(text))
		if err == nil {
			_ = explain.Find(got, "r1")
		}
	})
}

// The key of a quarantined request finds all attempts at it, at two entries and under two
// request IDs.
func TestKeyMatchesAllAttempts(t *testing.T) {
	var all []explain.Line
	for source, text := range map[string]string{
		"entry-1": `{"time":"2026-01-01T00:00:01Z","level":"info","key":"k","request":"r1","instance":"i-1","message":"quarantine: target crashed under a request"}` + "\n",
		"entry-2": `{"time":"2026-01-01T00:00:02Z","level":"warn","key":"k","crashes":3,"message":"quarantine: request held: targets crash under it"}
{"time":"2026-01-01T00:00:03Z","level":"info","key":"k","request":"r2","outcome":"quarantined","message":"online: request ended"}
`,
	} {
		got, err := explain.Read(source, strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, got...)
	}
	if s := explain.Find(all, "k"); len(s.Lines) != 3 {
		t.Fatalf("got %d lines, want 3", len(s.Lines))
	}
}
