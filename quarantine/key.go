// Package quarantine detects requests that crash every target that runs them, and stops them
// from reaching further targets. A crash also ends the requests that run beside its cause, so a
// single crash does not identify the request. Processes therefore exchange which requests were
// running on each crashed target, and a request is held once enough crashes count against it
// that no other request explains.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Key identifies a request by its content, independent of its ID. It includes the caller, as
// far as known, so that a caller cannot have another caller's request held by sending the same
// content. The hash is cryptographic so that nobody can construct a different request with the
// same key.
type Key [16]byte

// NewKey returns the key of a request. Each part is hashed with its length.
func NewKey(caller, method, host, uri string, body []byte) Key {
	h := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(caller), []byte(method), []byte(host), []byte(uri), body} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return Key(h.Sum(nil)[:len(Key{})])
}

// KeyFrom returns the key with the given bytes. It reports false if their number is wrong.
func KeyFrom(raw []byte) (Key, bool) {
	if len(raw) != len(Key{}) {
		return Key{}, false
	}
	return Key(raw), true
}

// String returns the key in hexadecimal digits.
func (k Key) String() string {
	return hex.EncodeToString(k[:])
}

// ErrInvalidKey is returned for a text that is not a key.
var ErrInvalidKey = errors.New("a key has 32 hexadecimal digits")

// ParseKey parses the output of String. It returns ErrInvalidKey for any other text.
func ParseKey(s string) (Key, error) {
	raw, err := hex.DecodeString(s)
	key, ok := KeyFrom(raw)
	if err != nil || !ok {
		return Key{}, errors.Wrapf(ErrInvalidKey, "%q", s)
	}
	return key, nil
}
