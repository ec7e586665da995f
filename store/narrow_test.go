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

// narrowLink is a way to the store over a link that all calls share: each page of
// newest records takes alone as long as a megabyte over 30 Mbit/s.
type narrowLink struct {
	store.Client

	mu        sync.Mutex
	inFlight  int
	pagesRead int // that came in whole
}

const (
	unsharedPageTime = 350 * time.Millisecond
	linkStep         = 10 * time.Millisecond
)

func (n *narrowLink) addInFlight(by int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inFlight += by
	return n.inFlight
}

// readPages returns how many pages came in whole.
func (n *narrowLink) readPages() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pagesRead
}

// Newest takes its share of the link until the page is there.
func (n *narrowLink) Newest(ctx context.Context, p store.Partition, after string) (store.Snapshot, error) {
	n.addInFlight(1)
	defer n.addInFlight(-1)
	for left := float64(unsharedPageTime); left > 0; left -= float64(linkStep) / float64(n.addInFlight(0)) {
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

// Guards against this: items of a partition are left lying after a restart of everything,
// and their runner, a host with a narrow link, says nothing.
func TestManyPartitionsAreReadOverANarrowLink(t *testing.T) {
	const partitions = 40
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		link := &narrowLink{Client: sharedstore.New(partitions).For("a")}
		way := store.NewFailover(link, func() []store.Peer { return []store.Peer{link, link} })
		loads := store.NewLoads(2)
		var all []*store.Follower
		for n := range partitions {
			f := store.NewFollower(way, store.Partition{Topic: "t", Number: n}, &mirror{}, store.FollowSettings{Wait: 2 * time.Second, Loads: loads})
			go f.Run(ctx)
			all = append(all, f)
		}
		time.Sleep(partitions * 2 * unsharedPageTime)
		for n, f := range all {
			if !f.Look(func(int64, <-chan struct{}) {}) {
				t.Errorf("partition %d is not read yet", n)
			}
		}
		if pages := link.readPages(); pages > partitions+partitions/2 {
			t.Errorf("%d pages were read for %d partitions", pages, partitions)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against this: a process that starts reads each partition twice.
func TestALoadIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		link := &narrowLink{Client: sharedstore.New(1).For("a")}
		f := store.NewFollower(link, testPartition, &mirror{}, store.FollowSettings{Wait: time.Second})
		go f.Run(ctx)
		for range 5 {
			go func() { _ = f.Catch(ctx, 0) }() // whether it came in time is not asked here
		}
		time.Sleep(3 * time.Second)
		if pages := link.readPages(); pages != 1 {
			t.Errorf("%d pages were read", pages)
		}
		cancel()
		synctest.Wait()
	})
}
