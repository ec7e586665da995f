// Package store declares the client interface of the shared store that all
// processes of a fleet use: a set of partitioned, compacted logs of keyed
// records. The store retains the newest record of each key indefinitely and older
// records for a limited time. The package also replicates partitions to local
// state and fails over to peers when the store refuses this host.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Partition identifies one log.
type Partition struct {
	Topic  string
	Number int
}

// SpreadPartitions returns up to count of the total partitions of a topic, as far apart as
// possible, so that data copied to each of them stays available while some partitions are
// unavailable.
func SpreadPartitions(topic string, total, count int) []Partition {
	var out []Partition
	for i := range min(count, total) {
		out = append(out, Partition{Topic: topic, Number: i * total / count})
	}
	return out
}

// Record is one keyed record. An empty Value is a tombstone that deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64 // position in its partition, from 0; Append ignores it
}

// AnyEnd as the expected end of an Append makes the append unconditional.
const AnyEnd int64 = -1

// Page is the result of a Read.
type Page struct {
	Records []Record
	First   int64 // lowest retained offset
	End     int64 // offset of the next record to be appended
}

// Snapshot is one page of the newest records of a partition, ordered by key.
type Snapshot struct {
	Records []Record
	More    bool // further keys follow the last one of this page
	End     int64
	// ReadAt is when the call for the page began if several readers share it, so it may be before
	// this reader asked for the page. Otherwise it is zero.
	ReadAt time.Time
}

// Membership is the assignment of a member in a group.
type Membership struct {
	Generation uint64
	Partitions []Partition // proposed to this member
}

// Owner is a partition and the member that the group proposes it to.
type Owner struct {
	Partition Partition
	Member    string
}

// JoinRequest joins a group or renews a membership.
type JoinRequest struct {
	Group      string
	Member     string
	Topics     []string
	TTL        time.Duration // the membership expires after this long without a call
	Generation uint64        // last generation received, 0 in the first request
}

// Log is the part of the store that stores records.
type Log interface {
	// Append adds all records atomically and returns the partition's new end offset.
	// Unless at is AnyEnd, the append is conditional: it fails with a ConflictError
	// when the partition does not end at that offset. After ErrUnavailable the append
	// may have been applied or may still be applied later; after ErrRefused and
	// ErrFull it has not been and will not be.
	Append(ctx context.Context, p Partition, recs []Record, at int64) (int64, error)
	// Read returns records starting at offset from. When there are none yet, it waits
	// up to wait for the first one. It fails with a TrimmedError when records at that
	// offset are no longer retained.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key greater than after, or of all keys
	// when after is "". It returns one page of them.
	Newest(ctx context.Context, p Partition, after string) (Snapshot, error)
}

// Groups is the part of the store that assigns partitions to the members of a group.
// Assignments are only proposals: two members may hold the same partition for a while.
type Groups interface {
	Join(ctx context.Context, req JoinRequest) (Membership, error)
	Leave(ctx context.Context, group, member string) error
	Owners(ctx context.Context, group string) ([]Owner, error)
}

// Client is the complete interface of the store.
type Client interface {
	Log
	Groups
}

// ErrUnavailable reports that a call got no response. It may have been applied.
var ErrUnavailable = errors.New("shared store did not answer")

// ErrRefused reports that the store rejected a call without applying it.
var ErrRefused = errors.New("shared store refused the call")

// ErrFull reports that the store has no space left and did not apply the call.
var ErrFull = errors.New("shared store is full")

// ConflictError reports that a partition does not end at the offset that an append
// expected.
type ConflictError struct {
	End int64 // actual end offset, -1 when the store did not report it
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("append conflict: partition ends at offset %d", e.End)
}

// TrimmedError reports that the requested records are no longer retained.
type TrimmedError struct {
	First int64 // lowest retained offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d are trimmed", e.First)
}

// NewestAll reads all pages of the newest records of a partition. The End of the
// result is that of the first page: the pages are not a consistent snapshot, so the
// caller must also read the records from that offset on.
func NewestAll(ctx context.Context, l Log, p Partition) (Snapshot, error) {
	all, err := l.Newest(ctx, p, "")
	if err != nil {
		return all, err
	}
	for more := all.More; more && len(all.Records) > 0; {
		page, err := l.Newest(ctx, p, all.Records[len(all.Records)-1].Key)
		if err != nil {
			return all, err
		}
		all.Records = append(all.Records, page.Records...)
		more = page.More && len(page.Records) > 0
	}
	all.More = false
	return all, nil
}
