// Package events parses streams of server-sent events, one complete event at a time.
package events

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MaxEventBytes is the maximum size of one event. A larger one is the sender's error.
const MaxEventBytes = 1 << 20

// ErrTruncated reports that a stream ended inside an event.
var ErrTruncated = errors.New("stream ended inside an event")

// ErrTooLarge reports that an event exceeds MaxEventBytes.
var ErrTooLarge = errors.New("event exceeds 1 MiB")

// ErrUnnumbered reports more than MaxEventBytes of events without an ID in a row.
var ErrUnnumbered = errors.New("1 MiB of events without an ID")

// ErrOutOfOrder reports that an event's ID is not the one after the previous event's.
var ErrOutOfOrder = errors.New("event ID out of sequence")

// IsMalformed reports whether an error says that a stream does not consist of events in order,
// rather than that it broke off.
func IsMalformed(err error) bool {
	return errors.IsAny(err, ErrTooLarge, ErrUnnumbered, ErrOutOfOrder)
}

// Event is one complete event.
type Event struct {
	ID   uint64 // 0 when the event has no ID
	Raw  []byte // all bytes of the event, including what preceded it and the final blank line
	Data []byte // values of the data fields, joined by line feeds
	// HasData reports whether the event has a data field, which may be empty.
	HasData bool
}

// Reader reads events from a stream and checks that their IDs are consecutive. It is not
// safe for concurrent use.
type Reader struct {
	in         *bufio.Reader
	lastID     uint64
	unnumbered int // bytes of events since the last one with an ID
}

// readBufferBytes is the buffer size of one stream. It is small because many streams are open
// at a time and an event has about 100 bytes.
const readBufferBytes = 4096

// NewReader returns a Reader of a stream that continues after the event with ID last. A last of
// 0 stands for a stream from its start.
func NewReader(r io.Reader, last uint64) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, readBufferBytes), lastID: last}
}

// Next returns the next event that has an ID or data. Blank lines and comments are no events: a
// stream of them makes no progress, so they are added to the event that follows, or returned by
// themselves at the end of the stream.
//
// Next returns io.EOF when the stream ended between events, ErrTruncated when it ended inside one,
// ErrTooLarge when an event with what precedes it exceeds MaxEventBytes, ErrUnnumbered when such
// an amount of events has no IDs, and ErrOutOfOrder when an event is missing or repeated. Other
// errors come from the connection.
func (r *Reader) Next() (Event, error) {
	var ev Event
	complete := 0 // bytes up to the last blank line
	for {
		line, err := r.readLine(&ev)
		switch {
		case errors.Is(err, io.EOF) && len(ev.Raw) > complete:
			return ev, ErrTruncated
		case errors.Is(err, io.EOF) && complete > 0:
			return ev, nil
		case err != nil:
			return ev, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 {
			ev.parseField(line)
			continue
		}
		complete = len(ev.Raw)
		if ev.ID > 0 || ev.HasData {
			return ev, r.checkSequence(&ev)
		}
	}
}

// readLine appends the next line to the raw bytes of an event and returns it. It stops reading at
// MaxEventBytes with ErrTooLarge.
func (r *Reader) readLine(ev *Event) ([]byte, error) {
	start := len(ev.Raw)
	for {
		part, err := r.in.ReadSlice('\n')
		ev.Raw = append(ev.Raw, part...)
		if len(ev.Raw) > MaxEventBytes {
			return nil, ErrTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return ev.Raw[start:], err
		}
	}
}

// checkSequence checks that an event's ID is the next one. Some events without an ID pass.
func (r *Reader) checkSequence(ev *Event) error {
	if ev.ID == 0 {
		r.unnumbered += len(ev.Raw)
		if r.unnumbered > MaxEventBytes {
			return ErrUnnumbered
		}
		return nil
	}
	if ev.ID != r.lastID+1 {
		return ErrOutOfOrder
	}
	r.lastID, r.unnumbered = ev.ID, 0
	return nil
}

func (ev *Event) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if n, err := strconv.ParseUint(string(value), 10, 64); err == nil {
			ev.ID = n
		}
	case "data":
		if ev.HasData {
			ev.Data = append(ev.Data, '\n')
		}
		ev.HasData = true
		ev.Data = append(ev.Data, value...)
	}
}

// Last returns the ID of the last complete event that had one.
func (r *Reader) Last() uint64 {
	return r.lastID
}
