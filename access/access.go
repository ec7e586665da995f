// Package access authenticates callers: it maps the key of a request to a workspace.
//
// A key is accepted only while the local configuration is confirmed to be the newest, since a
// host that is cut off from the store would otherwise accept revoked keys. The time since the
// last confirmation is limited by a lease, which each read of the configuration renews. Once
// the lease has expired, requests with a key are refused as not run.
package access

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/catalog"
	"pumiceford/internal/wait"
	"pumiceford/store"
)

// Bounds of authentication.
const (
	// leaseFraction is the ratio of the lease to the time for which a revoked key may still be
	// accepted. The rest allows for clocks that run at different rates.
	leaseFraction = 0.92
	// refreshTimeout bounds how long a request waits for a read of the store.
	refreshTimeout = 300 * time.Millisecond
	// minRefreshInterval is the least time between two reads of the store for unknown keys.
	minRefreshInterval = 100 * time.Millisecond
	// failureBackoff is the time after a failed read in which requests are refused at once.
	failureBackoff = 250 * time.Millisecond
	// retryAfter is the retry-after of a refusal. The retry usually reaches another host, which
	// usually has a connection to the store.
	retryAfter = 100 * time.Millisecond
)

// Errors of authentication.
var (
	// ErrNotReady is returned until the first configuration has been received.
	ErrNotReady = errors.New("no configuration is known")
	// ErrUnknownKey is returned if no workspace has the key or the request has no valid key.
	ErrUnknownKey = errors.New("no workspace has this key")
)

// StaleError is returned if the configuration could not be confirmed to be the newest.
type StaleError struct {
	Age time.Duration // since the last confirmation; the largest Duration if there was none
}

// Error implements error.
func (e *StaleError) Error() string {
	return "configuration was last confirmed " + e.Age.String() + " ago"
}

// RetryAfter returns how long the caller should wait before it retries the request.
func (e *StaleError) RetryAfter() time.Duration { return retryAfter }

// Source provides the configuration's confirmations.
type Source interface {
	// ConfirmedAt returns the time, by Config.Clock, at which the configuration was last known to
	// be the newest. It reports false if it was never confirmed.
	ConfirmedAt() (time.Duration, bool)
	// Confirm ensures that the last confirmation is at most maxAge ago.
	Confirm(ctx context.Context, maxAge time.Duration) error
}

// Config holds the dependencies and settings of an Authenticator.
type Config struct {
	Catalog func() *catalog.Catalog // in force; nil until one is known
	Source  Source
	// KeyLease is how long a key may still be accepted after its revocation; 0 sets no bound.
	KeyLease time.Duration
	// Clock is monotonic and includes the time for which the host is suspended.
	Clock func() time.Duration
}

// Authenticator authenticates callers by their keys. It is safe for concurrent use.
type Authenticator struct {
	cfg     Config
	lease   time.Duration
	unknown *unknownKeys

	mu                sync.Mutex
	lastRefresh       time.Duration // time of the last read
	lastRefreshFailed bool          // whether the last read failed
}

// NewAuthenticator returns an Authenticator with the given configuration.
func NewAuthenticator(cfg Config) *Authenticator {
	return &Authenticator{cfg: cfg, lease: time.Duration(leaseFraction * float64(cfg.KeyLease)), unknown: newUnknownKeys()}
}

// Identity identifies the sender of a request.
type Identity struct {
	// Workspace is nil for a caller without a valid key where none is required.
	Workspace *catalog.Workspace
	// Version is the version of the catalog that Workspace was read from.
	Version int64
	// KeyRequired reports whether the catalog requires keys. If so, the key must not be sent to
	// the target.
	KeyRequired bool
}

// Name returns the name of the workspace, or "" if there is none.
func (i Identity) Name() string {
	if i.Workspace == nil {
		return ""
	}
	return i.Workspace.Name
}

// Authenticate returns the sender of a request with the given credentials. A request with
// keyOptional is accepted without a valid key. The error is ErrNotReady, ErrUnknownKey or a
// *StaleError.
func (a *Authenticator) Authenticate(ctx context.Context, credentials []string, keyOptional bool) (Identity, error) {
	cat := a.cfg.Catalog()
	if cat == nil {
		return Identity{}, ErrNotReady
	}
	if !cat.RequiresKey() {
		return Identity{}, nil
	}
	id, err := a.identifyKey(ctx, credentials)
	if err != nil && keyOptional {
		return Identity{KeyRequired: true}, nil
	}
	return id, err
}

// identifyKey returns the workspace that the credentials belong to.
func (a *Authenticator) identifyKey(ctx context.Context, credentials []string) (Identity, error) {
	key, ok := parseBearer(credentials)
	if !ok {
		return Identity{}, ErrUnknownKey
	}
	digest := catalog.DigestKey(key)
	if err := a.confirm(ctx, digest); err != nil {
		return Identity{}, err
	}
	// The catalog is read after the confirmation, since an earlier one may be out of date.
	cat := a.cfg.Catalog()
	if ws := cat.WorkspaceByKey(digest); ws != nil {
		return Identity{Workspace: ws, Version: cat.Version, KeyRequired: true}, nil
	}
	a.unknown.add(digest, a.cfg.Clock())
	return Identity{}, ErrUnknownKey
}

// confirm ensures that the catalog is recent enough to decide on the key.
func (a *Authenticator) confirm(ctx context.Context, key catalog.KeyDigest) error {
	if a.cfg.Catalog().WorkspaceByKey(key) == nil {
		if a.unknown.contains(key, a.cfg.Clock()) {
			return nil
		}
		// The key may belong to a version that has not been received yet.
		return a.refreshSince(ctx, a.cfg.Clock())
	}
	if a.lease <= 0 || a.age() <= a.lease {
		return nil
	}
	return a.refresh(ctx, a.lease)
}

// refreshSince confirms the configuration as of a time or later. It waits until minRefreshInterval has
// passed since the last confirmation: callers do not try a key again that was refused as unknown.
func (a *Authenticator) refreshSince(ctx context.Context, at time.Duration) error {
	if age := a.age(); age < minRefreshInterval {
		_ = wait.For(ctx, minRefreshInterval-age)
	}
	return a.refresh(ctx, a.cfg.Clock()-at)
}

// refresh confirms the configuration unless it was confirmed within maxAge.
func (a *Authenticator) refresh(ctx context.Context, maxAge time.Duration) error {
	if a.backingOff() {
		return &StaleError{Age: a.age()}
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	err := a.cfg.Source.Confirm(ctx, maxAge)
	a.recordRefresh(err == nil)
	if err != nil {
		return &StaleError{Age: a.age()}
	}
	return nil
}

// backingOff reports whether the last read failed within failureBackoff.
func (a *Authenticator) backingOff() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastRefreshFailed && a.cfg.Clock()-a.lastRefresh < failureBackoff
}

func (a *Authenticator) recordRefresh(ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastRefreshFailed = !ok
	a.lastRefresh = a.cfg.Clock()
}

// neverConfirmed is the age of a configuration that was never confirmed.
const neverConfirmed = time.Duration(1<<63 - 1)

// age returns the time since the last confirmation, or neverConfirmed.
func (a *Authenticator) age() time.Duration {
	at, ok := a.cfg.Source.ConfirmedAt()
	if !ok {
		return neverConfirmed
	}
	return a.cfg.Clock() - at
}

// KeepLease confirms the configuration well before the lease expires, as long as keys are in
// use, until ctx ends. It calls onFailure for each read that fails.
func (a *Authenticator) KeepLease(ctx context.Context, onFailure func()) {
	if a.lease <= 0 {
		return
	}
	store.KeepConfirmed(ctx, a.lease, func(ctx context.Context, maxAge time.Duration) error {
		if cat := a.cfg.Catalog(); cat == nil || !cat.RequiresKey() {
			return nil
		}
		return a.cfg.Source.Confirm(ctx, maxAge)
	}, onFailure)
}

// ConfigAge returns the time since the last confirmation. It reports false if there was none.
func (a *Authenticator) ConfigAge() (time.Duration, bool) {
	age := a.age()
	return age, age != neverConfirmed
}
