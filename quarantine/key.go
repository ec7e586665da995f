// Package quarantine finds requests that crash every target that runs them, and keeps
// them from the others. A crash also ends what ran beside its cause, so no single one
// tells which request it was: what ran at each crashed target is gathered from all
// processes, and a request is held once crashes name it that nothing else explains.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Key names a request by what it says, whatever id it bears. The caller is part of it, as
// far as it is known, so that nobody can have the request of another one held by sending
// the same; the hash is a cryptographic one so that nobody finds another with the same key.
type Key [16]byte

// NewKey returns the key of a request.
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

// String returns the key in hexadecimal digits.
func (k Key) String() string {
	return hex.EncodeToString(k[:])
}

// ErrKey says that a text is no key.
var ErrKey = errors.New("a key has 32 hexadecimal digits")

// ParseKey reads what String returned.
func ParseKey(s string) (Key, error) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(Key{}) {
		return Key{}, errors.Wrapf(ErrKey, "%q", s)
	}
	return Key(raw), nil
}
