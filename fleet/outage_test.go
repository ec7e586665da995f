package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pumiceford/balance"
	"pumiceford/fleet"
	"pumiceford/standin/sharedstore"
	"pumiceford/store"
)

// The operators' bounds of the smallest deployment.
const (
	// drainTime is how long after the end of its registration a target may still get requests.
	drainTime = 2 * time.Second
	// contactTime is how long after an outage the bounds hold again.
	contactTime = 3 * time.Second
)

// Timing of the expiry, as entries use it, and the span of moments at which an outage begins, longer
// than a read of the registry.
const (
	phases         = 2 * time.Second
	expireInterval = 200 * time.Millisecond
)

var registry = store.Partition{Topic: "registry"}

// outageFixture is a View that follows a registry with the targets "a" and "b".
type outageFixture struct {
	store *sharedstore.Store
	view  *fleet.View
}

// atEachOutage calls run in a bubble of virtual time for outages of several lengths, which
// begin at several moments of a read that waits for records.
func atEachOutage(t *testing.T, run func(t *testing.T, fx outageFixture, fault sharedstore.Fault, length time.Duration)) {
	for name, fault := range map[string]sharedstore.Fault{"refused": sharedstore.Refuse, "no response": sharedstore.NoResponse} {
		for length := 500 * time.Millisecond; length <= 8*time.Second; length += 500 * time.Millisecond {
			for phase := 50 * time.Millisecond; phase < phases; phase += 150 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					fx := outageFixture{store: sharedstore.New(1), view: newView()}
					fx.register("a")
					fx.register("b")
					storeLog := store.NewFailover(fx.store.ClientFor("host"), fx.peers)
					go fx.view.RegistryFollower(storeLog, registry, nil).Run(ctx)
					go func() {
						for tick := time.NewTicker(expireInterval); ctx.Err() == nil; <-tick.C {
							fx.view.ExpireTargets(time.Now())
						}
					}()
					time.Sleep(4*time.Second + phase)
					run(t, fx, fault, length)
					if t.Failed() {
						t.Logf("store %s for %v, %v after the start of a read", name, length, phase)
					}
					cancel()
					time.Sleep(expireInterval)
					synctest.Wait()
				})
				if t.Failed() {
					return
				}
			}
		}
	}
}

// peers returns the hosts through which the host calls the store when it cannot reach it.
func (fx outageFixture) peers() []store.Peer {
	return []store.Peer{fx.store.ClientFor("peer 1"), fx.store.ClientFor("peer 2")}
}

// setFault sets the fault of the host's calls to the store, of those through peers, too.
func (fx outageFixture) setFault(fault sharedstore.Fault) {
	for _, host := range []string{"host", "peer 1", "peer 2"} {
		fx.store.SetFault(host, fault)
	}
}

func (fx outageFixture) register(id string) {
	fx.store.Put(registry, id, []byte(id))
}

func (fx outageFixture) removeRegistration(id string) {
	fx.store.Put(registry, id, nil)
}

// eligible reports whether a target may get online requests and batch items.
func (fx outageFixture) eligible(id string) (ok bool) {
	fx.view.WithTable(func(t *balance.Table) { ok = t.Eligible(time.Now(), "s", id) })
	return ok
}

// Guards against requests to a target that left after an outage of the store: an end of
// the outage that is noticed late makes the removal look like an expired registration.
func TestTargetThatLeavesAfterOutageGetsNothing(t *testing.T) {
	atEachOutage(t, func(t *testing.T, fx outageFixture, fault sharedstore.Fault, length time.Duration) {
		fx.setFault(fault)
		time.Sleep(length)
		fx.setFault(sharedstore.NoFault)
		time.Sleep(contactTime)
		fx.removeRegistration("a")
		time.Sleep(drainTime)
		if fx.eligible("a") || !fx.eligible("b") {
			t.Errorf("a eligible %v, b eligible %v; want only b, 2 s after a left", fx.eligible("a"), fx.eligible("b"))
		}
	})
}

// Guards against requests to a target that left while only this host could not read the
// registry: the host must not go on treating the removal as the result of an outage.
func TestTargetThatLeavesWhileHostIsCutOffGetsNothing(t *testing.T) {
	atEachOutage(t, func(t *testing.T, fx outageFixture, fault sharedstore.Fault, length time.Duration) {
		fx.setFault(fault)
		time.Sleep(length / 2)
		fx.removeRegistration("a")
		time.Sleep(length / 2)
		fx.setFault(sharedstore.NoFault)
		time.Sleep(contactTime)
		if fx.eligible("a") || !fx.eligible("b") {
			t.Errorf("a eligible %v, b eligible %v; want only b, 3 s after the cut", fx.eligible("a"), fx.eligible("b"))
		}
	})
}

// Guards against refusing all requests after an outage: registrations of live targets
// expire in it and return up to two seconds after it.
func TestLiveTargetsStayEligibleAroundOutage(t *testing.T) {
	atEachOutage(t, func(t *testing.T, fx outageFixture, fault sharedstore.Fault, length time.Duration) {
		const registrationTTL = 3 * time.Second // shorter outages expire no registration
		if length <= registrationTTL {
			return
		}
		fx.setFault(fault)
		time.Sleep(length)
		fx.removeRegistration("a")
		fx.removeRegistration("b")
		fx.setFault(sharedstore.NoFault)
		for range 19 {
			time.Sleep(100 * time.Millisecond)
			if !fx.eligible("a") || !fx.eligible("b") {
				t.Error("a live target is not eligible within two seconds of the outage")
				return
			}
		}
		fx.register("a")
		fx.register("b")
		time.Sleep(contactTime)
		if !fx.eligible("a") || !fx.eligible("b") {
			t.Error("a live target is not eligible after it has registered again")
		}
	})
}
