// Package events reads streams of server-sent events one whole event at a time.
package events

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MaxEventBytes bounds one event. A longer one is an error of the sender.
const MaxEventBytes = 1 << 20

// ErrCut says that a stream ended inside an event.
var ErrCut = errors.New("stream ended inside an event")

// ErrTooLong says that an event is over MaxEventBytes.
var ErrTooLong = errors.New("event too long")

// ErrOrder says that an event does not follow the one before it.
var ErrOrder = errors.New("event out of order")

// Event is one whole event.
type Event struct {
	ID   uint64 // 0 when the event has none
	Raw  []byte // all its bytes, with the blank line at its end
	Data []byte // its data lines, joined by line feeds
	// Any tells whether it has a data field at all.
	Any bool
}

// Reader reads events.
type Reader struct {
	in   *bufio.Reader
	last uint64
}

// readBufferBytes is the buffer of one stream. Streams are many and an event
// has some 100 bytes.
const readBufferBytes = 4096

// NewReader returns a Reader of the events that follow the one with number last.
func NewReader(r io.Reader, last uint64) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, readBufferBytes), last: last}
}

// Next returns the next event; io.EOF when the stream ended between events,
// ErrCut when it ended inside one, ErrOrder when one is missing or comes twice.
// Other errors are those of the connection.
func (r *Reader) Next() (Event, error) {
	var ev Event
	for {
		line, err := r.in.ReadSlice('\n')
		ev.Raw = append(ev.Raw, line...)
		if len(ev.Raw) > MaxEventBytes {
			return ev, ErrTooLong
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			rest, err := r.restOfLine(&ev)
			if err != nil {
				return ev, err
			}
			line = append(bytes.Clone(line), rest...)
		case errors.Is(err, io.EOF) && len(ev.Raw) > 0:
			return ev, ErrCut
		case err != nil:
			return ev, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return ev, r.follow(&ev)
		}
		ev.field(line)
	}
}

func (r *Reader) restOfLine(ev *Event) ([]byte, error) {
	rest, err := r.in.ReadBytes('\n')
	ev.Raw = append(ev.Raw, rest...)
	if errors.Is(err, io.EOF) {
		return nil, ErrCut
	}
	return rest, err
}

// follow checks that an event's number is the next one.
func (r *Reader) follow(ev *Event) error {
	if ev.ID == 0 {
		return nil
	}
	if ev.ID != r.last+1 {
		return ErrOrder
	}
	r.last = ev.ID
	return nil
}

func (ev *Event) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if n, err := strconv.ParseUint(string(value), 10, 64); err == nil {
			ev.ID = n
		}
	case "data":
		if ev.Any {
			ev.Data = append(ev.Data, '\n')
		}
		ev.Any = true
		ev.Data = append(ev.Data, value...)
	}
}

// Last returns the number of the last whole event.
func (r *Reader) Last() uint64 {
	return r.last
}
