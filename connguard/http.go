package connguard

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/intake"
)

// maxDrainBytes bounds what is read of a body that its handler has left unread. It is what net/http
// reads by itself to keep the connection open.
const maxDrainBytes = 256 << 10

// Handler returns a handler that records the requests that h serves. Its server's ConnContext has to
// be NewContext.
func (g *Guard) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		hasBody := r.ContentLength != 0
		if err := c.BeginRequest(hasBody); err != nil {
			c.EndRequest(true)
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !hasBody {
			defer c.EndRequest(true)
			h.ServeHTTP(w, r)
			return
		}
		body := &trackedBody{ReadCloser: r.Body}
		r.Body = body
		defer func() { c.EndRequest(body.ended) }()
		h.ServeHTTP(w, r)
		// A client may wait for the response before it sends the rest, so only a response that keeps the
		// connection open waits for it.
		if !body.ended && r.Header.Get("Expect") == "" && w.Header().Get("Connection") != "close" {
			_, _ = io.CopyN(io.Discard, body, maxDrainBytes) // a body that is longer or fails closes the connection
		}
	})
}

// trackedBody is a request body that remembers whether it was read to its end.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// HTTPRefusal returns the response to a request that is not complete and will not run.
func HTTPRefusal(err error, retryAfter time.Duration) []byte {
	status := http.StatusServiceUnavailable
	var ended *Error
	switch {
	case errors.As(err, &ended) && ended.TimedOut():
		status = http.StatusRequestTimeout
	case errors.Is(err, ErrHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %g\r\n", retryAfter.Seconds())
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry)
}

// Shares of a process's memory and descriptors.
const (
	// memoryShare is the fraction of the memory that callers' connections and requests may hold. The
	// rest is for the process itself and for what the runtime has not collected yet.
	memoryShare = 3.0 / 8
	// connMemoryShare is the fraction of that which idle connections may hold.
	connMemoryShare = 0.5
	// connShare is the fraction of the descriptors that callers' connections may use, and
	// maxReservedDescriptors how many are for files beforehand, at most a quarter.
	connShare              = 0.75
	maxReservedDescriptors = 200
	// httpConnBytes is what a connection of net/http holds.
	httpConnBytes = 8 << 10
	// HTTPBufferBytes is the size of the read buffer of net/http, and HTTPFactor what it holds for
	// each byte of a larger header: lines, and the strings and the map that they are parsed to.
	HTTPBufferBytes = 4 << 10
	HTTPFactor      = 3
	// HertzBufferBytes is the size of the read buffer of a hertz server, which holds its largest
	// header, and HertzFactor what it holds for each further byte: a buffer that grows by copying, and
	// what the request is decoded to.
	HertzBufferBytes = 64 << 10
	HertzFactor      = 4
	hertzConnBytes   = HertzBufferBytes + 16<<10
	// operatorConns and operatorBytes are the limits of the operators' listener.
	operatorConns = 64
	operatorBytes = 16 << 20
	// maxOpsConns and opsConnFraction bound the connections of a listener for checks and metrics.
	maxOpsConns     = 64
	opsConnFraction = 1.0 / 16
	opsBytes        = 2 << 20
)

// HTTPLimits returns the limits of the callers' listener in a process with the given memory in
// bytes and number of descriptors.
func HTTPLimits(memory int64, descriptors int) intake.Limits {
	return limits(memory, descriptors, httpConnBytes)
}

// HertzLimits is HTTPLimits for a server that is made by hertz.
func HertzLimits(memory int64, descriptors int) intake.Limits {
	return limits(memory, descriptors, hertzConnBytes)
}

// OperatorLimits returns the limits of the operators' listener, which is made by hertz.
func OperatorLimits(descriptors int) intake.Limits {
	return intake.Limits{Bytes: operatorBytes, Conns: min(operatorConns, int(opsConnFraction*float64(descriptors))), ConnBytes: hertzConnBytes}
}

func limits(memory int64, descriptors int, connBytes int64) intake.Limits {
	l := intake.Limits{Bytes: int64(memoryShare * float64(memory)), ConnBytes: connBytes}
	sockets := descriptors - min(maxReservedDescriptors, descriptors/4)
	l.Conns = min(int(connShare*float64(sockets)), int(connMemoryShare*float64(l.Bytes))/int(connBytes))
	return l
}

// OpsLimits returns the limits of a listener for readiness checks or metrics.
func OpsLimits(descriptors int) intake.Limits {
	return intake.Limits{Bytes: opsBytes, Conns: min(maxOpsConns, int(opsConnFraction*float64(descriptors))), ConnBytes: httpConnBytes}
}
