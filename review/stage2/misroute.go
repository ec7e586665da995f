package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Figures of strayService.
const (
	otherService  = "huvo11a"
	otherTargets  = 3 // of the nine
	misEvents     = 10
	misInterval   = 20 * time.Millisecond
	strayWrites   = 5
	strayPause    = 3 * time.Second
	plainPrefix   = "/kalo370/" // of the route to the first service
	callersOfEach = 4           // kept connections to each entry
)

// strayService plays another writer whose entries lack a field. Under the key of a target it names
// the other service. Callers use the routes of the first service only.
func strayService(s *stage, trouble bool) (int, error) {
	if err := s.configure("plain", "other"); err != nil {
		return failed, err
	}
	for n := range 9 {
		serves := service
		if n < otherTargets {
			serves = otherService
		}
		if err := s.addTargetOf(serves, fmt.Sprintf("i-%08x", 0x7f3a91c2+n*0x01234567), misEvents, misInterval); err != nil {
			return failed, err
		}
	}
	for n := range 8 {
		if err := s.addEntry(fmt.Sprintf("edge-kakkanad-%d", n+1)); err != nil {
			return failed, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range s.entries {
		for c := range callersOfEach {
			callers.Go(func() { s.callKept(n, c, stop) })
		}
	}
	w := s.targets[0]
	for range strayWrites {
		time.Sleep(strayPause)
		s.register(w)
		if trouble {
			s.overwriteService(w)
		}
	}
	time.Sleep(strayPause)
	close(stop)
	callers.Wait()
	return judgeRoute(s), nil
}

// overwriteService writes an entry under the key of a target that names the first service and lacks
// the version. The next entry of the target follows within a heartbeat.
func (s *stage) overwriteService(w *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := w.registration()
	entry["Service"] = service
	delete(entry, "Version")
	s.putServer(w.ID, entry)
	s.logf("another writer has written an entry without Version under the key of %s, a server of %s: %v", w.ID, w.service, entry)
}

// judgeRoute judges the rule ROUTE: a request is run by a service to which no configuration allows
// it to go.
func judgeRoute(s *stage) int {
	code := held
	for _, w := range s.targets {
		w.mu.Lock()
		runs := w.Runs()
		w.mu.Unlock()
		wrong := 0
		for _, r := range runs {
			if w.service != service && strings.HasPrefix(r.URI, plainPrefix) {
				wrong++
				if wrong == 1 {
					s.logf("%s of %s runs %s %s %s at %.3f s", w.ID, w.service, r.Method, r.URI, r.ID, r.Started.Sub(s.began).Seconds())
				}
			}
		}
		s.logf("%s of %s ran %d requests, %d of them on a route to %s", w.ID, w.service, len(runs), wrong, service)
		if wrong > 0 {
			code = broken
		}
	}
	return code
}
