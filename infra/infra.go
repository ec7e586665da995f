// Package infra declares the services that the platform gives: the
// append-only log, the lagging host list and the rate-limited weight store.
// Implementations live elsewhere, so that a test bench can stand in for each.
package infra

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Record is one record of a log stream.
type Record struct {
	Offset uint64    // position in its stream, from 0, without gaps
	Time   time.Time // when the log took it
	Data   []byte
}

// Page is the answer to a read.
type Page struct {
	Records  []Record
	Earliest uint64 // lowest offset still kept
	Tail     uint64 // offset that the next record will get
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds data to a stream and returns its offset. After any error
	// other than ErrTooLarge and ThrottledError the record may still have been
	// taken, or may be taken later.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns records from offset on, up to maxBytes but at least one. With
	// wait above zero it blocks that long for a first record. It returns a
	// TrimmedError when from is below the earliest kept offset.
	Read(ctx context.Context, stream string, from uint64, maxBytes int, wait time.Duration) (Page, error)
}

// Host is one entry of the host list.
type Host struct {
	Name       string `json:"name"`
	Role       string `json:"role"` // RoleEntry or RoleAgent
	Addr       string `json:"addr"` // IP and port of our process there
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving"`
}

// Roles of hosts.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Fetch blocks until the weights of a model version were read, and returns
	// their size in bytes.
	Fetch(ctx context.Context, model, version string) (int64, error)
}

// ErrUnavailable says that the platform's service did not answer. The effect of
// the call is unknown.
var ErrUnavailable = errors.New("platform service unavailable")

// ErrTooLarge says that a record is over the log's limit. It was not taken.
var ErrTooLarge = errors.New("record over the log's limit")

// ThrottledError says that the log refused an append over its rate. It was not taken.
type ThrottledError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("log throttled, retry after %s", e.RetryAfter)
}

// TrimmedError says that an offset is no longer kept.
type TrimmedError struct {
	Earliest uint64
	Tail     uint64
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("offset trimmed, earliest kept is %d", e.Earliest)
}
