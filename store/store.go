// Package store declares the shared store that all processes of a fleet use: a
// set of partitioned logs of keyed records. The newest record of each key is
// kept for good, older ones for a while. It also follows partitions, and reaches
// the store through peers when it refuses this host.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Partition names one log.
type Partition struct {
	Topic  string
	Number int
}

// Spread returns up to count partitions of a topic with so many parts, as far apart as
// can be: what is kept on each of them is there when some of the parts are away.
func Spread(topic string, parts, count int) []Partition {
	var out []Partition
	for i := range min(count, parts) {
		out = append(out, Partition{Topic: topic, Number: i * parts / count})
	}
	return out
}

// Record is one keyed record. An empty Value drops the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64 // position in its partition, from 0; ignored on append
}

// AnyEnd as the end of an Append says that it does not matter where the
// partition ends.
const AnyEnd int64 = -1

// Page is the answer to a Read.
type Page struct {
	Records []Record
	First   int64 // lowest offset still kept
	End     int64 // offset that the next record will get
}

// Snapshot is one page of the newest records of a partition, by key.
type Snapshot struct {
	Records []Record
	More    bool // ask again after the last key
	End     int64
}

// Membership is a member's part in a group.
type Membership struct {
	Generation uint64
	Partitions []Partition // proposed to this member
}

// Owner is a partition with the member that it is proposed to.
type Owner struct {
	Partition Partition
	Member    string
}

// JoinRequest keeps a member in a group.
type JoinRequest struct {
	Group      string
	Member     string
	Topics     []string
	TTL        time.Duration // after this long without a call the member is out
	Generation uint64        // last one received, 0 at first
}

// Log is the part of the store that holds records.
type Log interface {
	// Append adds records, all or none, and returns the partition's new end.
	// Unless at is AnyEnd it is carried out only when the partition ends there,
	// and fails with a ConflictError otherwise. After ErrUnavailable it may have
	// been carried out, or may be later; after ErrRefused and ErrFull it never is.
	Append(ctx context.Context, p Partition, recs []Record, at int64) (int64, error)
	// Read returns records from an offset on. With none there it waits up to
	// wait for a first. It fails with a TrimmedError when they are gone.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest records of the keys after one, "" for all.
	Newest(ctx context.Context, p Partition, after string) (Snapshot, error)
}

// Groups is the part of the store that shares partitions out among members. It
// only proposes: two members may hold the same partition for a while.
type Groups interface {
	Join(ctx context.Context, req JoinRequest) (Membership, error)
	Leave(ctx context.Context, group, member string) error
	Owners(ctx context.Context, group string) ([]Owner, error)
}

// Client is the whole store.
type Client interface {
	Log
	Groups
}

// ErrUnavailable says that a call got no answer. It may have been carried out.
var ErrUnavailable = errors.New("shared store gave no answer")

// ErrRefused says that the store turned a call away. Nothing was done.
var ErrRefused = errors.New("shared store refused the call")

// ErrFull says that the store has no room left. Nothing was done.
var ErrFull = errors.New("shared store is full")

// ConflictError says that a partition does not end where an append required.
type ConflictError struct {
	End int64 // where it ends, -1 when not told
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("partition ends at %d", e.End)
}

// TrimmedError says that the records asked for are gone.
type TrimmedError struct {
	First int64 // lowest offset still kept
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records before %d are gone", e.First)
}

// NewestAll reads the newest records of a whole partition. Its End is that of
// the first page: pages are no snapshot, so records from there on have to be
// read as well.
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
