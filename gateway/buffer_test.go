package gateway_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/catalog"
	"pumiceford/exchange"
	"pumiceford/gateway"
)

// Guards against large responses that are buffered without memory for them, or lost for lack of it: a
// response is relayed as it arrives instead. One that then breaks off is not sent again.
func TestLargeResponsesReserveMemory(t *testing.T) {
	const small, large = 10 << 10, 300 << 10
	for name, c := range map[string]struct {
		size     int
		free     bool
		breaks   bool
		reserved int64 // at most
		calls    int
		aborted  bool
	}{
		"small":                 {size: small, free: true, calls: 1},
		"small, breaks off":     {size: small, breaks: true, calls: 2},
		"large":                 {size: large, free: true, reserved: 2 << 20, calls: 1},
		"large, breaks off":     {size: large, free: true, breaks: true, reserved: 2 << 20, calls: 2},
		"no memory":             {size: large, reserved: 2 << 20, calls: 1},
		"no memory, breaks off": {size: large, breaks: true, reserved: 2 << 20, calls: 1, aborted: true},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Repeat("r", c.size)
			first := io.Reader(strings.NewReader(text))
			if c.breaks {
				first = io.MultiReader(first, brokenReader{})
			}
			f := newFixture(catalog.Route{Kind: catalog.Idempotent, Attempts: 2}, 3, respond(exchange.Done, 200, first, false), respond(exchange.Done, 200, strings.NewReader("second"), false))
			var reserved int64
			rec := &recorder{}
			route := f.view.Catalog().Match("h", "/")
			f.gw.Serve(context.Background(), route, &gateway.Request{Call: exchange.Call{ID: "r", Method: "POST", Host: "h", URI: "/"}, Arrived: time.Now(), ReserveMemory: func(n int64) bool {
				reserved += n
				return c.free
			}}, rec)
			if reserved > c.reserved || len(f.sender.calls) != c.calls || rec.aborted != c.aborted {
				t.Errorf("%d bytes reserved, %d calls, aborted %t; want at most %d, %d, %t", reserved, len(f.sender.calls), rec.aborted, c.reserved, c.calls, c.aborted)
			}
			if !c.breaks && rec.body.String() != text {
				t.Errorf("%d bytes relayed, want %d", rec.body.Len(), len(text))
			}
		})
	}
}

// brokenReader fails.
type brokenReader struct{}

// Read implements io.Reader.
func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }
