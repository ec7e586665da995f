package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each problem in a settings file is reported with its file, its line and what was
// expected.
func TestEntryReportsProblems(t *testing.T) {
	good, err := os.ReadFile("../examples/entry.hujson")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, new, want string }{
		{"unknown field", `"partitions": 8,`, `"partitons": 8,`, "x:9: partitons: unknown field"},
		{"wrong unit", `"2s"`, `"2 sec"`, `"2 sec" is not a duration`},
		{"wrong type", `"partitions": 8,`, `"partitions": "8",`, "expected uint32, got string"},
		{"overlapping addresses", `127.0.0.1:8081`, `127.0.0.1:8080`, "x:6: operators: 127.0.0.1:8080 is used by callers as well"},
		{"open peers without tls", `127.0.0.1:8082`, `10.0.0.1:8082`, "x:7: peers: without tls only a loopback address may be used"},
		{"no key", `e6da3ab41e2dd8a6e2af45e0f9c10cd1a2a9fa2d1ef1a60dd6b7b21f2a3a8d14`, ``, "bootstrap_operator: expected a name and the hex SHA-256"},
		{"host name for an address", `127.0.0.1:8080`, `localhost:8080`, `x:5: callers: "localhost:8080" is not "ip:port"`},
		{"cut off", `"log": {`, `"log": `, "x"},
	}
	for _, tc := range cases {
		if !strings.Contains(string(good), tc.old) {
			t.Fatalf("%s: examples/entry.hujson lacks %q", tc.name, tc.old)
		}
		err := Parse("x", []byte(strings.Replace(string(good), tc.old, tc.new, 1)), &Entry{})
		var typed *Error
		if !errors.As(err, &typed) || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got %v, want an *Error with %q", tc.name, err, tc.want)
		}
	}
}

func TestExamples(t *testing.T) {
	for name, set := range map[string]Checker{"entry": &Entry{}, "agent": &Agent{}, "standin": &Standin{}, "gateway": &Gateway{}, "seat-agent": &SeatAgent{}} {
		if err := Load(filepath.Join("../examples", name+".hujson"), set); err != nil {
			t.Error(err)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{``, `{}`, `{"name":"a"}`, `{"stop_within":"1s",}`, "{//\n}", `{"name":7}`, `{"log":{"level":"loud"}}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := Parse("f", data, &Agent{}); err == nil {
			return
		}
		var typed *Error
		if err := Parse("f", data, &Agent{}); !errors.As(err, &typed) {
			t.Fatalf("error is not an *Error: %v", err)
		}
	})
}
