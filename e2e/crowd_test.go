package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"pumiceford/dev"
	"pumiceford/entry"
	"pumiceford/internal/crowd"
)

// Limits of an entry beside a crowd.
const (
	crowdMemoryMB    = 192
	crowdDescriptors = 256
	// spareDescriptors are left for the platform, agents and other entries.
	spareDescriptors = 16
)

// postTo returns the start of a request with a valid key, whose header is not complete.
func postTo(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + dev.WorkspaceKey + "\r\n"
}

// upload returns a batch file of size bytes, of which all but the last byte are sent.
func upload(size int) crowd.Send {
	const start = "--b\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--b\r\nContent-Disposition: form-data; name=\"file\"; filename=\"f\"\r\n\r\n"
	head := fmt.Sprintf("%sContent-Type: multipart/form-data; boundary=b\r\nContent-Length: %d\r\n\r\n%s", postTo("/v1/files"), size+len(start), start)
	return crowd.Repeat(head, "x", size-1)
}

func chunked(path string, chunk, total int) crowd.Send {
	framed := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	return crowd.Repeat(postTo(path)+"Transfer-Encoding: chunked\r\n\r\n", framed, total/chunk*len(framed))
}

func largeHeader(total int) crowd.Send {
	return crowd.Repeat(postTo("/v1/completions"), "X-Filler: "+strings.Repeat("f", 500)+"\r\n", total)
}

// checkWithinLimits checks that a process lives within its memory and its descriptors.
func (f *fleet) checkWithinLimits(name string, descriptors int) {
	f.t.Helper()
	pid := f.procs[name].Process.Pid
	peak, err := crowd.PeakMemory(pid)
	if err != nil {
		f.t.Fatalf("%s has ended: %v", name, err)
	}
	if limit := int64(crowdMemoryMB << 20); peak > limit {
		f.t.Errorf("%s used %d MiB, its limit is %d MiB", name, peak>>20, limit>>20)
	}
	open, err := crowd.Descriptors(pid)
	if err != nil {
		f.t.Fatalf("%s has ended: %v", name, err)
	}
	if descriptors > 0 && open > descriptors-spareDescriptors {
		f.t.Errorf("%s has %d descriptors open, want at most %d of %d", name, open, descriptors-spareDescriptors, descriptors)
	}
}

// awaitServed sends a completion to the first entry until it is served.
func (f *fleet) awaitServed() {
	f.t.Helper()
	c := f.caller(0)
	f.waitFor("response to an ordinary request", func(ctx context.Context) error {
		var reply map[string]any
		return c.JSON(ctx, http.MethodPost, "/v1/completions", map[string]any{"model": dev.Model, "prompt": "hello", "max_tokens": 2}, &reply)
	})
}

// limit starts the first entry again with little memory and the given limit of descriptors, 0 for
// the machine's.
func (f *fleet) limit(descriptors int) {
	f.t.Helper()
	f.kill("entry-0")
	f.startLimited("entry-0", "pumice-entry", descriptors, fmt.Sprint("GOMEMLIMIT=", crowdMemoryMB, "MiB"))
	f.awaitServed()
}

// Guards against an entry of the project's own interface that crowds of clients end, or keep from
// answering others.
func TestCrowdAtOwnInterface(t *testing.T) {
	callers := func(f *fleet) string { return strings.TrimPrefix(f.callers[0], "http://") }
	operators := func(f *fleet) string { return strings.TrimPrefix(f.ops[0], "http://") }
	for _, c := range []struct {
		name        string
		size        int
		descriptors int // limit of the entry, 0 for the machine's
		addr        func(f *fleet) string
		send        crowd.Send
	}{
		{name: "headers short of their end", size: 400, addr: callers, send: largeHeader(60 << 10)},
		{name: "headers without end", size: 50, addr: callers, send: largeHeader(8 << 20)},
		{name: "empty lines without end", size: 50, addr: callers, send: crowd.Repeat("", "\r\n", 8<<20)},
		{name: "chunks beyond a prompt", size: 6, addr: callers, send: chunked("/v1/completions", 64<<10, 64<<20)},
		{name: "small chunks", size: 30, addr: callers, send: chunked("/v1/services/stamps/x", 16, 4<<20)},
		{name: "prompts short of their end", size: 250, addr: callers, send: crowd.Repeat(postTo("/v1/completions")+"Content-Length: 1048576\r\n\r\n", "x", 1<<20-1)},
		{name: "files short of their end", size: 6, addr: callers, send: upload(64 << 20)},
		{name: "headers to operators", size: 400, addr: operators, send: largeHeader(60 << 10)},
		{name: "bodies to operators", size: 30, addr: operators, send: crowd.Repeat(postTo("/plans")+"Content-Length: 16777216\r\n\r\n", "x", 16<<20-1)},
		{name: "silent connections", size: 400, descriptors: crowdDescriptors, addr: callers, send: crowd.Silent},
		{name: "silent connections to operators", size: 400, descriptors: crowdDescriptors, addr: operators, send: crowd.Silent},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			f.limit(c.descriptors)
			clients := crowd.Open(c.addr(f), c.size, c.send)
			defer clients.Close()
			f.checkWithinLimits("entry-0", c.descriptors)
			f.awaitServed()
			clients.Close()
			f.awaitServed()
			f.checkWithinLimits("entry-0", c.descriptors)
		})
	}
}

// Guards against limits for crowds that refuse a single client within the limits.
func TestOwnInterfaceServesLegalRequests(t *testing.T) {
	f := newFleet(t)
	f.limit(0)
	c := f.caller(0)
	prompt := strings.Repeat("p", entry.MaxPromptBytes-1000)
	f.waitFor("response to the largest prompt", func(ctx context.Context) error {
		return c.JSON(ctx, http.MethodPost, "/v1/services/stamps/x", map[string]any{"prompt": prompt}, nil)
	})
	var file strings.Builder
	for n := range 2000 {
		fmt.Fprintf(&file, `{"custom_id":"c%d","method":"POST","url":"/v1/completions","body":{"model":%q,"prompt":%q,"max_tokens":2}}`+"\n", n, dev.Model, strings.Repeat("p", 1000))
	}
	f.waitFor("upload of a batch file", func(ctx context.Context) error {
		_, err := c.Upload(ctx, "f.jsonl", []byte(file.String()))
		return err
	})
	f.checkWithinLimits("entry-0", 0)
}
