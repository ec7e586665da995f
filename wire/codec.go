// Package wire holds the protobuf messages that cross process boundaries and
// the length-delimited codec of the streams between processes.
package wire

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto

// MaxMessageBytes is the largest size of one message on a stream. A larger length
// prefix is rejected before a buffer is allocated for it.
const MaxMessageBytes = 16 << 20

// readBufferBytes is the buffer size of one Reader. It is small because a process
// has many streams; a frame with one token takes about 40 bytes.
const readBufferBytes = 2048

// Reader reads length-delimited messages from one stream. It is not safe for
// concurrent use.
type Reader struct {
	buf *bufio.Reader
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buf: bufio.NewReaderSize(r, readBufferBytes)}
}

// Read reads the next message into m. It fails for a message larger than
// MaxMessageBytes.
func (r *Reader) Read(m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	return opts.UnmarshalFrom(r.buf, m)
}

// Write writes m to w in a single call, so that the reader of a yamux stream is
// not woken for a partial message.
func Write(w io.Writer, m proto.Message) error {
	buf := make([]byte, 0, proto.Size(m)+lengthPrefixBytes)
	sink := sliceWriter{buf: buf}
	if _, err := protodelim.MarshalTo(&sink, m); err != nil {
		return err
	}
	_, err := w.Write(sink.buf)
	return err
}

// WriteAll writes several messages to w in a single call, because yamux makes two
// writes on the connection for each call.
func WriteAll[M proto.Message](w io.Writer, ms []M) error {
	size := 0
	for _, m := range ms {
		size += proto.Size(m) + lengthPrefixBytes
	}
	sink := sliceWriter{buf: make([]byte, 0, size)}
	for _, m := range ms {
		if _, err := protodelim.MarshalTo(&sink, m); err != nil {
			return err
		}
	}
	_, err := w.Write(sink.buf)
	return err
}

// lengthPrefixBytes is the largest size of a length prefix: a varint of 32 bits.
const lengthPrefixBytes = 5

// sliceWriter is an io.Writer that appends to buf and does not fail.
type sliceWriter struct {
	buf []byte
}

func (s *sliceWriter) Write(p []byte) (int, error) {
	s.buf = append(s.buf, p...)
	return len(p), nil
}
