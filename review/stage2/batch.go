package main

import (
	"fmt"
	"time"
)

// batchFleet starts the small deployment: nine targets with their agents and eight entries.
func batchFleet(s *stage, beforeEntries func()) error {
	if err := s.configure("stream", "batch"); err != nil {
		return err
	}
	for n := range 9 {
		if err := s.addTarget(fmt.Sprintf("i-%08x", 0x7f3a91c2+n*0x01234567), 60, 5*time.Millisecond); err != nil {
			return err
		}
	}
	if beforeEntries != nil {
		beforeEntries()
	}
	for n := range 8 {
		if err := s.addEntry(fmt.Sprintf("edge-kakkanad-%d", n+1)); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// submitAll submits jobs of ten items and reports whether all were accepted.
func submitAll(s *stage, n int) ([]*job, error) {
	var all []*job
	for i := range n {
		j := newJob(fmt.Sprintf("7c41e09b%04x", i*2654435761>>7&0xffff), 10, 15000)
		if !s.submit(j, i, 6) {
			return nil, fmt.Errorf("job %s was not accepted", j.id)
		}
		all = append(all, j)
	}
	return all, nil
}

// judgeFinish reads the jobs for FinishS and judges the rule LOST of open batch jobs: an item that
// is neither complete nor dead, though in the last 5 s no target had an unlisted item of its job
// and the targets were under half full, and in the last 3 s no item was finished.
func judgeFinish(s *stage, jobs []*job) int {
	end := time.Now().Add(finish)
	const lastRun, lastFinished = 5 * time.Second, 3 * time.Second
	var finished time.Time
	for round := 0; time.Now().Before(end); round++ {
		open := 0
		for i, j := range jobs {
			if len(j.results) == len(j.items) {
				continue
			}
			open++
			_, _ = s.read(s.entries[(i+round)%len(s.entries)], j)
			if j.last.After(finished) {
				finished = j.last
			}
		}
		if open == 0 {
			s.logf("all items are listed")
			return held
		}
		time.Sleep(250 * time.Millisecond)
	}
	if time.Since(finished) < lastFinished {
		s.logf("items are still being finished")
		return held
	}
	runs := s.runs()
	lost := 0
	for _, j := range jobs {
		busy := false
		var missing []string
		for _, id := range j.items {
			if j.results[id] != "" {
				continue
			}
			missing = append(missing, id)
			for _, r := range runs[id] {
				busy = busy || time.Since(r.Started) < lastRun
			}
		}
		if len(missing) > 0 && !busy {
			ran := 0
			for _, id := range missing {
				ran += len(runs[id])
			}
			s.logf("job %s, accepted %.1f s ago: %d of %d items neither complete nor dead; they ran %d times", j.id, time.Since(j.accepted).Seconds(), len(missing), len(j.items), ran)
			lost += len(missing)
		}
	}
	s.logf("%d items lost; the last result was read %.1f s ago", lost, time.Since(finished).Seconds())
	if lost > 0 {
		return broken
	}
	return held
}

// strayCount is the number of entries of another writer: the side machines of the sheet large.
const strayCount = 180

// strayRegistrations plays another writer in the registry: the targets of a service that the
// configuration does not name register there as well.
func strayRegistrations(s *stage, trouble bool) (int, error) {
	err := batchFleet(s, func() {
		if !trouble {
			return
		}
		s.mu.Lock()
		for n := range strayCount {
			id := fmt.Sprintf("i-%08x", 0x1b873593*(n+1)&0xffffffff)
			s.strays[id] = map[string]any{
				"Service": "other-team", "Addr": hostPort(fmt.Sprintf("127.%d.%d.%d", 200, 1+n/200, 1+n%200), targetPort), "Zone": "kakkanad-b", "Version": "v1",
				"Slots": 8, "State": "ready", "Seq": 1, "born": s.began.UnixMilli(),
			}
		}
		s.mu.Unlock()
		s.logf("another writer registers %d servers of a service that is not configured", strayCount)
		time.Sleep(heartbeat + 100*time.Millisecond)
	})
	if err != nil {
		return failed, err
	}
	jobs, err := submitAll(s, 24)
	if err != nil {
		return failed, err
	}
	return judgeFinish(s, jobs), nil
}

// strayOverwrites plays another writer that writes once to the keys of the targets.
func strayOverwrites(s *stage, trouble bool) (int, error) {
	if err := batchFleet(s, nil); err != nil {
		return failed, err
	}
	if trouble {
		for _, w := range s.targets {
			s.putServer(w.ID, map[string]any{
				"Service": "other-team", "Addr": w.Addr(), "Zone": "kakkanad-b", "Version": "v1",
				"Slots": 8, "State": "ready", "Seq": 1, "born": time.Now().UnixMilli(),
			})
		}
		s.logf("another writer has written one entry of a service that is not configured under the key of each target")
	}
	time.Sleep(2 * contact)
	jobs, err := submitAll(s, 24)
	if err != nil {
		return failed, err
	}
	return judgeFinish(s, jobs), nil
}
