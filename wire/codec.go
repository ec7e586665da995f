// Package wire holds the protobuf messages that cross process boundaries and
// the length-delimited codec used on every stream between our processes.
package wire

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto

// MaxMessageBytes bounds one message on a stream. A larger length prefix is
// refused before any buffer is allocated for it.
const MaxMessageBytes = 16 << 20

// readBufferBytes is the buffer of one stream reader. Streams are many, so it
// stays small; a token frame takes about 40 bytes.
const readBufferBytes = 2048

// Reader reads length-delimited messages from one stream.
type Reader struct {
	buf *bufio.Reader
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buf: bufio.NewReaderSize(r, readBufferBytes)}
}

// Read reads the next message into m.
func (r *Reader) Read(m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	return opts.UnmarshalFrom(r.buf, m)
}

// Write writes m to w in one call, so that concurrent yamux streams are not
// woken for half a message.
func Write(w io.Writer, m proto.Message) error {
	buf := make([]byte, 0, proto.Size(m)+lengthPrefixBytes)
	sink := sliceWriter{buf: buf}
	if _, err := protodelim.MarshalTo(&sink, m); err != nil {
		return err
	}
	_, err := w.Write(sink.buf)
	return err
}

// WriteAll writes several messages to w in one call. A message for itself costs
// yamux two writes on the connection.
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

// lengthPrefixBytes is the largest length prefix of a message within limits.
const lengthPrefixBytes = 5

type sliceWriter struct {
	buf []byte
}

func (s *sliceWriter) Write(p []byte) (int, error) {
	s.buf = append(s.buf, p...)
	return len(p), nil
}
