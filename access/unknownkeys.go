package access

import (
	"sync"
	"time"

	"pumiceford/catalog"
)

// Bounds of the memory of wrong keys.
const (
	// wrongFor is how long a key that was not found at a look is not looked for again. It
	// is well below the time within which a new key has to work.
	wrongFor = time.Second
	// wrongMost bounds the keys in memory.
	wrongMost = 4096
)

// wrongKeys remembers keys that no workspace had, so that a caller who repeats one costs
// no call to the store each time.
type wrongKeys struct {
	mu    sync.Mutex
	since map[catalog.KeyDigest]time.Duration
}

func newWrongKeys() *wrongKeys {
	return &wrongKeys{since: make(map[catalog.KeyDigest]time.Duration)}
}

// has reports whether a key was found wrong lately.
func (w *wrongKeys) has(key catalog.KeyDigest, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.since[key]
	return ok && now-at < wrongFor
}

// add notes a key that is wrong now. One that is known to be wrong is not renewed.
func (w *wrongKeys) add(key catalog.KeyDigest, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at, ok := w.since[key]; ok && now-at < wrongFor {
		return
	}
	if len(w.since) >= wrongMost {
		w.forget(now)
	}
	w.since[key] = now
}

// forget drops what is not needed any more, and everything when that is nothing: a flood
// of different keys then costs looks within their own bound. w.mu is held.
func (w *wrongKeys) forget(now time.Duration) {
	for k, at := range w.since {
		if now-at >= wrongFor {
			delete(w.since, k)
		}
	}
	if len(w.since) >= wrongMost {
		clear(w.since)
	}
}
