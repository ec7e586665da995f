// Package infra declares the services of the platform: the append-only log, the
// eventually consistent host list and the rate-limited weight store. Implementations
// are in other packages, so that tests and benchmarks can replace each service.
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
	Time   time.Time // when the log accepted it
	Data   []byte
}

// Page is the result of a read.
type Page struct {
	Records  []Record
	Earliest uint64 // lowest retained offset
	Tail     uint64 // offset of the next record to be appended
}

// Log is the platform's append-only log service.
type Log interface {
	// Append appends data to a stream and returns its offset. After any error other
	// than ErrTooLarge and ThrottledError the record may have been appended, or may
	// still be appended later.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns records starting at offset from, up to maxBytes but at least one if
	// there is any. If wait is positive, it blocks up to that long for a first record.
	// It returns a TrimmedError if from is below the earliest retained offset.
	Read(ctx context.Context, stream string, from uint64, maxBytes int, wait time.Duration) (Page, error)
}

// Host is one element of the host list.
type Host struct {
	Name       string `json:"name"`
	Role       string `json:"role"` // RoleEntry or RoleAgent
	Addr       string `json:"addr"` // IP and port of the pumiceford process on it
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving"`
}

// Roles of hosts.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// HostList is the platform's list of live and leaving hosts. It lags behind the fleet.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Fetch blocks until the weights of a model version have been read and returns
	// their size in bytes.
	Fetch(ctx context.Context, model, version string) (int64, error)
}

// ErrUnavailable is returned when a platform service does not respond. Whether the call took
// effect is unknown.
var ErrUnavailable = errors.New("platform service unavailable")

// ErrTooLarge is returned when a record exceeds the log's size limit. The record was not
// appended.
var ErrTooLarge = errors.New("record over the log's limit")

// ThrottledError is returned when the log rejects an append over its rate limit. The record
// was not appended.
type ThrottledError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("log throttled, retry after %s", e.RetryAfter)
}

// TrimmedError is returned when an offset is no longer retained.
type TrimmedError struct {
	Earliest uint64
	Tail     uint64
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("offset trimmed, earliest kept is %d", e.Earliest)
}
