package main

import (
	"fmt"
	"sync"
	"time"

	"pumiceford/platform/platformtest"
)

// Figures of steppedClock.
const (
	bornEvents   = 10
	bornInterval = 20 * time.Millisecond
	clockStep    = 2000 * time.Millisecond // clock_step, x
	bornPause    = 1200 * time.Millisecond // between the two starts
	downTime     = 200 * time.Millisecond
	drainTime    = 2000 * time.Millisecond // DrainMs
	serveLonger  = time.Second             // after DrainMs, before the target exits
	bornMargin   = 50 * time.Millisecond   // of what the target measures
)

// startAgain lets a target crash and start again under its ID and address. Its host's time of day is
// ahead by the given step.
func (s *stage) startAgain(w *worker, ahead time.Duration) error {
	w.mu.Lock()
	addr := w.Addr()
	w.Close()
	time.Sleep(downTime)
	tg, err := platformtest.NewTarget(w.ID, addr, slots, bornEvents, bornInterval)
	if err != nil {
		w.mu.Unlock()
		return err
	}
	w.Target, w.seq, w.born = tg, 0, time.Now().Add(ahead).UnixMilli()
	s.logf("%s has started again, born %d", w.ID, w.born)
	w.mu.Unlock()
	s.register(w)
	return nil
}

// steppedClock lets a target start while its host's time of day is ahead, and once more after the
// time of day has jumped back. Later the target drains and leaves.
func steppedClock(s *stage, trouble bool) (int, error) {
	if err := s.configure("plain", "batch"); err != nil {
		return failed, err
	}
	for n := range 9 {
		if err := s.addTarget(fmt.Sprintf("i-%08x", 0x7f3a91c2+n*0x01234567), bornEvents, bornInterval); err != nil {
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
	w := s.targets[0]
	ahead := time.Duration(0)
	if trouble {
		ahead = clockStep
	}
	if err := s.startAgain(w, ahead); err != nil {
		return failed, err
	}
	time.Sleep(bornPause - downTime)
	if err := s.startAgain(w, 0); err != nil {
		return failed, err
	}
	time.Sleep(2 * contact)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range s.entries {
		for c := range 4 {
			callers.Go(func() { s.callKept(n, c, stop) })
		}
	}
	time.Sleep(2 * time.Second)
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	s.register(w)
	acked := time.Now()
	s.logf("the store has the entry of %s as draining", w.ID)
	time.Sleep(drainTime + serveLonger)
	w.mu.Lock()
	runs := w.Runs()
	s.logf("%s exits", w.ID)
	w.Close()
	w.mu.Unlock()
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
	return judgeDrain(s, w.ID, runs, acked), nil
}

// judgeDrain judges the rule DRAIN: a request reaches a target later than DrainMs after the store
// had it as draining, from entries in touch.
func judgeDrain(s *stage, id string, runs []platformtest.Run, acked time.Time) int {
	late, cut := 0, 0
	for _, r := range runs {
		if r.Started.After(acked.Add(drainTime + bornMargin)) {
			late++
			if !r.Completed {
				cut++
			}
		}
	}
	s.logf("%d of %d requests reached %s later than DrainMs after that; it cut %d of them as it left", late, len(runs), id, cut)
	if late > 0 {
		return broken
	}
	return held
}
