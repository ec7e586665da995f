package quarantine

import (
	"crypto/sha256"
	"strings"
)

// Limits of the parts of a prompt.
const (
	// maxParts bounds the parts of one prompt that crashes are counted against, the first ones.
	maxParts = 32
	// maxPartIDBytes bounds the ID that is kept for operators. Longer ones are cut; the key is
	// of the whole ID.
	maxPartIDBytes = 64
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	Key Key
	ID  string // in lower case, at most maxPartIDBytes
}

// partDomain keeps the keys of parts apart from those of requests.
const partDomain = "part of a prompt\x00"

// NewPart returns the part with an ID, as a caller names it. Its key depends on the ID alone,
// not on its place, the caller or the rest of the prompt.
func NewPart(id string) Part {
	id = strings.ToLower(id)
	sum := sha256.Sum256([]byte(partDomain + id))
	return Part{Key: Key(sum[:len(Key{})]), ID: id[:min(len(id), maxPartIDBytes)]}
}

// SharedParts returns the parts that a prompt may share with others, given the IDs of all its
// parts in order: all but the last, which is the request's own, without repetitions.
func SharedParts(ids []string) []Part {
	if len(ids) < 2 {
		return nil
	}
	var out []Part
	seen := make(map[Key]bool)
	for _, id := range ids[:len(ids)-1] {
		p := NewPart(id)
		if len(out) < maxParts && !seen[p.Key] {
			seen[p.Key] = true
			out = append(out, p)
		}
	}
	return out
}

// PartIDs returns the IDs of parts separated by commas, for the log.
func PartIDs(parts []Part) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return strings.Join(ids, ",")
}
