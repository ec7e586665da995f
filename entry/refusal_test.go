package entry_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"pumiceford/connguard"
	"pumiceford/entry"
	"pumiceford/intake"
)

// Guards against a request that ends before a handler has it and whose client does not learn that it
// has not run.
func TestRefusalOfIncompleteRequestIsTrue(t *testing.T) {
	for _, c := range []struct {
		cause      error
		status     int
		code       string
		retryAfter string
	}{
		{&connguard.Error{Reason: intake.NoMemory}, http.StatusServiceUnavailable, "overloaded", "1"},
		{&connguard.Error{Reason: intake.MadeRoom}, http.StatusServiceUnavailable, "overloaded", "1"},
		{&connguard.Error{Reason: intake.Stalled}, http.StatusGatewayTimeout, "deadline_exceeded", ""},
		{connguard.ErrBodyTooLarge, http.StatusRequestEntityTooLarge, "too_large", ""},
	} {
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(entry.Refusal(c.cause))), nil)
		if err != nil {
			t.Fatalf("%v: %v", c.cause, err)
		}
		var body struct {
			Error struct{ Code, Ran string }
		}
		if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
			t.Fatalf("%v: body: %v", c.cause, err)
		}
		if resp.StatusCode != c.status || body.Error.Code != c.code || body.Error.Ran != "no" || resp.Header.Get(entry.HeaderRan) != "no" || resp.Header.Get("Retry-After") != c.retryAfter || !resp.Close {
			t.Errorf("%v: status %d, %+v, header %v", c.cause, resp.StatusCode, body, resp.Header)
		}
	}
}
