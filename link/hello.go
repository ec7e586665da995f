package link

import (
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceford/wire"
)

// maxHelloBytes bounds the hello message that opens a connection.
const maxHelloBytes = 1024

// writeHello sends the hello message: a big-endian 16-bit length, then the message.
// The reader of this message must not buffer, because the bytes after it belong to yamux.
func writeHello(conn net.Conn, cfg Config, class Class) error {
	body, err := proto.Marshal(&wire.Hello{
		Node:        cfg.Node,
		Class:       string(class),
		Incarnation: cfg.Incarnation[:],
	})
	if err != nil {
		return err
	}
	var buf bytes.Buffer
	buf.Write(binary.BigEndian.AppendUint16(nil, uint16(len(body))))
	buf.Write(body)
	_, err = conn.Write(buf.Bytes())
	return err
}

// readHello reads the hello message and returns its class. It reports false if the message
// is invalid, names an unknown class or does not arrive within helloTimeout.
func readHello(conn net.Conn) (Class, bool) {
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	var size [2]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return "", false
	}
	n := binary.BigEndian.Uint16(size[:])
	if n > maxHelloBytes {
		return "", false
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(conn, body); err != nil {
		return "", false
	}
	hello := &wire.Hello{}
	if proto.Unmarshal(body, hello) != nil {
		return "", false
	}
	for _, class := range Classes {
		if string(class) == hello.GetClass() {
			return class, true
		}
	}
	return "", false
}

func secureServer(conn net.Conn, cfg *tls.Config) net.Conn {
	if cfg == nil {
		return conn
	}
	return tls.Server(conn, cfg)
}

func secureClient(conn net.Conn, cfg *tls.Config) net.Conn {
	if cfg == nil {
		return conn
	}
	return tls.Client(conn, cfg)
}
