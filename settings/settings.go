// Package settings reads settings files in JSON with comments and validates them
// strictly. Errors name the file, the line and what was expected.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Error is one problem in a settings file.
type Error struct {
	File    string
	Line    int // 0 if the problem has no line
	Field   string
	Problem string
}

// Error implements error.
func (e *Error) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s", where, e.Field, e.Problem)
	}
	return fmt.Sprintf("%s: %s", where, e.Problem)
}

// Errors holds all problems found in a settings file.
type Errors []*Error

// Error implements error. The text has one problem per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems, for errors.Is and errors.As.
func (e Errors) Unwrap() []error {
	out := make([]error, len(e))
	for i, err := range e {
		out[i] = err
	}
	return out
}

// Duration is a time.Duration that is written as a string such as "500ms" or "2s".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Newf("a duration is a string with a unit, such as \"500ms\", not %s", data)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Newf("%q is not a duration such as \"500ms\" or \"2s\"", s)
	}
	if v < 0 {
		return errors.Newf("the duration %q is negative", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Checker is a settings struct that validates itself. Each Problem names its field by
// the JSON name.
type Checker interface {
	Check() []Problem
}

// Problem is one finding of a Checker.
type Problem struct {
	Field string
	Text  string
}

// Load reads a file into v and checks it.
func Load(path string, v Checker) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return &Error{File: path, Problem: err.Error()}
	}
	return Parse(path, raw, v)
}

// Parse decodes raw into v and checks it. name stands for the file in errors.
func Parse(name string, raw []byte, v Checker) error {
	// Standardize replaces comments by blanks of the same length, so that line
	// numbers stay valid. It works in place, hence the clone.
	std, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return &Error{File: name, Problem: err.Error()}
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(name, raw, dec.InputOffset(), err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &Error{File: name, Line: lineAt(raw, dec.InputOffset()), Problem: "unexpected data after the settings"}
	}
	problems := v.Check()
	if len(problems) == 0 {
		return nil
	}
	var all Errors
	for _, p := range problems {
		all = append(all, &Error{File: name, Line: lineOf(raw, p.Field), Field: p.Field, Problem: p.Text})
	}
	return all
}

func decodeError(name string, raw []byte, offset int64, err error) error {
	var typed *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &typed):
		return &Error{File: name, Line: lineAt(raw, typed.Offset), Field: typed.Field, Problem: fmt.Sprintf("expected %s, got %s", typed.Type, typed.Value)}
	case errors.As(err, &syntax):
		return &Error{File: name, Line: lineAt(raw, syntax.Offset), Problem: err.Error()}
	}
	text := strings.TrimPrefix(err.Error(), "json: ")
	if _, field, ok := strings.Cut(text, "unknown field "); ok {
		field = strings.Trim(field, `"`)
		return &Error{File: name, Line: lineOf(raw, field), Field: field, Problem: "unknown field"}
	}
	return &Error{File: name, Line: lineAt(raw, offset), Problem: text}
}

func lineAt(raw []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(raw)))
	return 1 + bytes.Count(raw[:offset], []byte("\n"))
}

// lineOf returns the first line that contains a field's name, 0 if there is none.
func lineOf(raw []byte, field string) int {
	last := field[strings.LastIndex(field, ".")+1:]
	at := bytes.Index(raw, []byte(`"`+last+`"`))
	if at < 0 {
		return 0
	}
	return lineAt(raw, int64(at))
}

// CheckAddr checks that an address has the form "ip:port".
func CheckAddr(field, addr string) []Problem {
	if addr == "" {
		return []Problem{{field, "missing; expected \"ip:port\""}}
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return []Problem{{field, fmt.Sprintf("%q is not \"ip:port\"", addr)}}
	}
	return nil
}

// CheckLoopback checks that an address without TLS is a loopback address.
func CheckLoopback(field, addr string, tls bool) []Problem {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || tls || ap.Addr().IsLoopback() {
		return nil
	}
	return []Problem{{field, "without tls only a loopback address may be used"}}
}

// CheckDistinct checks that no two fields have the same address.
func CheckDistinct(fields map[string]string) []Problem {
	var out []Problem
	seen := make(map[string]string)
	for _, field := range sortedKeys(fields) {
		addr := fields[field]
		if addr == "" {
			continue
		}
		if other, ok := seen[addr]; ok {
			out = append(out, Problem{field, fmt.Sprintf("%s is used by %s as well", addr, other)})
		}
		seen[addr] = field
	}
	return out
}

// CheckURL checks that a URL begins with "http://" or "https://".
func CheckURL(field, u string) []Problem {
	if !strings.HasPrefix(u, "http://") && !strings.HasPrefix(u, "https://") {
		return []Problem{{field, fmt.Sprintf("%q is not an http URL", u)}}
	}
	return nil
}

// CheckName checks that a host's name is not empty.
func CheckName(field, name string) []Problem {
	if name == "" {
		return []Problem{{field, "missing"}}
	}
	return nil
}
