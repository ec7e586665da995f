package access

import (
	"sync"
	"time"

	"pumiceford/catalog"
)

// Bounds of the cache of unknown keys.
const (
	// unknownKeyTTL is how long an unknown key is refused without another read of the store. It
	// is well below the time within which a new key has to work.
	unknownKeyTTL = time.Second
	// maxUnknownKeys bounds the number of cached keys.
	maxUnknownKeys = 4096
)

// unknownKeys caches keys that no workspace had, so that a caller who repeats one does not
// cause a call to the store each time.
type unknownKeys struct {
	mu     sync.Mutex
	seenAt map[catalog.KeyDigest]time.Duration
}

func newUnknownKeys() *unknownKeys {
	return &unknownKeys{seenAt: make(map[catalog.KeyDigest]time.Duration)}
}

// contains reports whether the key was found to be unknown within unknownKeyTTL.
func (u *unknownKeys) contains(key catalog.KeyDigest, now time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, ok := u.seenAt[key]
	return ok && now-at < unknownKeyTTL
}

// add adds an unknown key. A cached key keeps its expiry, so that it is looked up again in
// time.
func (u *unknownKeys) add(key catalog.KeyDigest, now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if at, ok := u.seenAt[key]; ok && now-at < unknownKeyTTL {
		return
	}
	if len(u.seenAt) >= maxUnknownKeys {
		u.evict(now)
	}
	u.seenAt[key] = now
}

// evict removes expired keys, and all keys if none has expired. A flood of different keys then
// causes reads of the store, which minRefreshInterval limits. The caller holds mu.
func (u *unknownKeys) evict(now time.Duration) {
	for k, at := range u.seenAt {
		if now-at >= unknownKeyTTL {
			delete(u.seenAt, k)
		}
	}
	if len(u.seenAt) >= maxUnknownKeys {
		clear(u.seenAt)
	}
}
