package store_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/standin/sharedstore"
	"pumiceford/store"
)

// narrowLink is a client of the store over a link whose bandwidth concurrent calls share.
// Without other calls, a page of newest records takes as long as 1 MB at 30 Mbit/s.
type narrowLink struct {
	store.Client

	mu        sync.Mutex
	inFlight  int
	pagesRead int // number of pages received completely
}

const (
	unsharedPageTime = 350 * time.Millisecond
	linkStep         = 10 * time.Millisecond
)

// addInFlight changes the number of calls in flight and returns the new number.
func (n *narrowLink) addInFlight(delta int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inFlight += delta
	return n.inFlight
}

// readPages returns the number of pages received completely.
func (n *narrowLink) readPages() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pagesRead
}

// Newest uses its share of the bandwidth until the page is transferred.
func (n *narrowLink) Newest(ctx context.Context, p store.Partition, after string) (store.Snapshot, error) {
	n.addInFlight(1)
	defer n.addInFlight(-1)
	for remaining := float64(unsharedPageTime); remaining > 0; remaining -= float64(linkStep) / float64(n.addInFlight(0)) {
		select {
		case <-time.After(linkStep):
		case <-ctx.Done():
			return store.Snapshot{}, errors.Mark(ctx.Err(), store.ErrUnavailable)
		}
	}
	n.mu.Lock()
	n.pagesRead++
	n.mu.Unlock()
	return n.Client.Newest(ctx, p, after)
}

// notLoaded returns the indices of the followers that have loaded nothing.
func notLoaded(all []*store.Follower) (out []int) {
	for n, f := range all {
		if !f.View(func(int64, <-chan struct{}) {}) {
			out = append(out, n)
		}
	}
	return out
}

// Guards against items of a partition that are not run after a restart of the whole system,
// without an error: on a host with a slow link, all loads time out and start again.
func TestLoadsManyPartitionsOverSlowLink(t *testing.T) {
	const partitions = 40
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		link := &narrowLink{Client: sharedstore.New(partitions).ClientFor("a")}
		client := store.NewFailover(link, func() []store.Peer { return []store.Peer{link, link} })
		loads := store.NewLoadLimit(2)
		var followers []*store.Follower
		for n := range partitions {
			f := store.NewFollower(client, store.Partition{Topic: "t", Number: n}, &mirror{}, store.FollowerConfig{Wait: 2 * time.Second, LoadLimit: loads})
			go f.Run(ctx)
			followers = append(followers, f)
		}
		time.Sleep(partitions * 2 * unsharedPageTime)
		for _, n := range notLoaded(followers) {
			t.Errorf("partition %d is not loaded", n)
		}
		if pages := link.readPages(); pages > partitions+partitions/2 {
			t.Errorf("read %d pages for %d partitions, want at most half as many again", pages, partitions)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against job partitions that no process of a region can read again after a restart: all load
// theirs at the same time over one link, none gets its page in time, and each starts again at once.
func TestProcessesThatShareALinkLoadAfterARestart(t *testing.T) {
	const processes, partitionsEach, within = 17, 2, 45 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		link := &narrowLink{Client: sharedstore.New(processes * partitionsEach).ClientFor("a")}
		var followers []*store.Follower
		for n := range processes * partitionsEach {
			// Each process has a client of its own; its peers are in the same region.
			client := store.NewFailover(link, func() []store.Peer { return []store.Peer{link, link} })
			f := store.NewFollower(client, store.Partition{Topic: "t", Number: n}, &mirror{}, store.FollowerConfig{Wait: 2 * time.Second})
			go f.Run(ctx)
			followers = append(followers, f)
		}
		time.Sleep(within)
		if missing := len(notLoaded(followers)); missing > 0 {
			t.Errorf("%d of %d partitions are not loaded after %s, although the link carries them within %s", missing, len(followers), within, time.Duration(len(followers))*unsharedPageTime)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a process that reads each partition twice at start.
func TestConcurrentCallersShareLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		link := &narrowLink{Client: sharedstore.New(1).ClientFor("a")}
		f := store.NewFollower(link, testPartition, &mirror{}, store.FollowerConfig{Wait: time.Second})
		go f.Run(ctx)
		for range 5 {
			go func() { _ = f.CatchUp(ctx, 0) }() // the call may time out; only the number of pages matters
		}
		time.Sleep(3 * time.Second)
		if pages := link.readPages(); pages != 1 {
			t.Errorf("read %d pages, want 1", pages)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against partitions that are loaded long after an outage in which their loads began, by
// processes that have lost patience with each of them.
func TestLoadsOfAnOutageAreMadeAgainAtItsEnd(t *testing.T) {
	// A host counts as in touch 3 s after an outage, and then knows an accepted job within 1 s.
	const partitions, within = 6, 4 * time.Second
	hosts := []string{"host", "peer 1", "peer 2"}
	for length := time.Second; length <= 30*time.Second; length += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := sharedstore.New(partitions)
			for _, h := range hosts {
				s.SetFault(h, sharedstore.NoResponse)
			}
			f := store.NewFailover(s.ClientFor("host"), func() []store.Peer { return []store.Peer{s.ClientFor("peer 1"), s.ClientFor("peer 2")} })
			go store.NewPromptFollower(f, testPartition, &mirror{}, store.FollowerConfig{NewestOnly: true, LoadAge: 1200 * time.Millisecond}).Run(ctx)
			go func() { // entries ask for the owners of partitions
				for ctx.Err() == nil {
					_, _ = f.Owners(ctx, "g") // only its effect on other calls matters
					time.Sleep(500 * time.Millisecond)
				}
			}()
			loads := store.NewLoadLimit(2)
			var followers []*store.Follower
			for n := range partitions {
				fl := store.NewFollower(f, store.Partition{Topic: "jobs", Number: n}, &mirror{}, store.FollowerConfig{Wait: 8 * time.Second, LoadLimit: loads})
				go fl.Run(ctx)
				followers = append(followers, fl)
			}
			time.Sleep(length)
			for _, h := range hosts {
				s.SetFault(h, sharedstore.NoFault)
			}
			time.Sleep(within)
			for _, n := range notLoaded(followers) {
				t.Errorf("partition %d is not loaded %v after an outage of %v", n, within, length)
			}
			cancel()
			time.Sleep(time.Second)
			synctest.Wait()
		})
	}
}

// slowNewest is a client whose pages of newest records arrive long after the store has made them, and
// whose reads take a second.
type slowNewest struct{ store.Client }

func (l slowNewest) Newest(ctx context.Context, p store.Partition, after string) (store.Snapshot, error) {
	snap, err := l.Client.Newest(ctx, p, after)
	time.Sleep(5 * time.Second)
	return snap, err
}

func (l slowNewest) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Page, error) {
	time.Sleep(time.Second)
	return l.Client.Read(ctx, p, from, wait)
}

// Guards against a wrong "no such job" response: a load that shares the call of an earlier one must
// not count its page as read when it began itself.
func TestSharedPageIsAsOldAsItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := sharedstore.New(1)
		m := &mirror{}
		f := store.NewFollower(store.NewFailover(slowNewest{s.ClientFor("a")}, func() []store.Peer { return nil }), testPartition, m, store.FollowerConfig{Wait: time.Hour})
		began := time.Now()
		time.AfterFunc(time.Second, func() { s.Put(testPartition, "k", []byte("v")) })
		go f.Run(ctx)
		for time.Since(began) < 7*time.Second {
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
			if values(f, m)["k"] == "" && f.AsOf().After(began.Add(time.Second)) {
				t.Errorf("complete up to %v, without the record of 1 s", f.AsOf().Sub(began))
				break
			}
		}
		if values(f, m)["k"] != "v" {
			t.Error("the record is not read")
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}
