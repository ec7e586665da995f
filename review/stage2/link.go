package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the sheet bagerlinjen-ordre-grown: an area apart from the store, with half of the
// entries, and the link to it.
const (
	linkPartitions = 48
	linkEntries    = 17
	linkBytesPerS  = 60e6 / 8
	linkJobs       = 420
	linkItems      = 10
	linkItemBytes  = 15000
	linkDown       = 980 * time.Millisecond // closing kill_all, down_s
	linkWait       = 45 * time.Second       // after the restart; FinishS is 18 s
	linkReaders    = 4
)

// areaLink is a proxy to the store over one link, whose bandwidth all connections share in each
// direction.
type areaLink struct {
	ln      net.Listener
	backend string
	narrow  atomic.Bool
	carried atomic.Int64 // bytes from the store

	mu   sync.Mutex
	next [2]time.Time // when each direction is free
}

func newAreaLink(backend string) (*areaLink, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &areaLink{ln: ln, backend: backend}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.connect(c)
		}
	}()
	return l, nil
}

func (l *areaLink) connect(client net.Conn) {
	server, err := net.Dial("tcp", l.backend)
	if err != nil {
		_ = client.Close() // the store is gone
		return
	}
	done := make(chan struct{}, 2)
	for dir, pair := range [2][2]net.Conn{{server, client}, {client, server}} {
		go func() {
			l.carry(dir, pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
	_ = client.Close() // one end has closed
	_ = server.Close()
	<-done
}

// carry copies one direction at the rate of the link.
func (l *areaLink) carry(dir int, to io.Writer, from io.Reader) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			l.wait(dir, n)
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
			if dir == 1 {
				l.carried.Add(int64(n))
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *areaLink) wait(dir, n int) {
	if !l.narrow.Load() {
		return
	}
	l.mu.Lock()
	now := time.Now()
	if l.next[dir].Before(now) {
		l.next[dir] = now
	}
	l.next[dir] = l.next[dir].Add(time.Duration(float64(n) / linkBytesPerS * float64(time.Second)))
	until := l.next[dir]
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// fullLink kills all entries of an area, which start again and load their jobs over the link
// between the areas.
func fullLink(s *stage, trouble bool) (int, error) {
	link, err := newAreaLink(s.store.Addr())
	if err != nil {
		return failed, err
	}
	s.storeAt = link.ln.Addr().String()
	if err := s.configure("plain", "batch"); err != nil {
		return failed, err
	}
	for n := range 9 {
		if err := s.addTarget(fmt.Sprintf("i-%08x", 0x7f3a91c2+n*0x01234567), 1, 5*time.Millisecond); err != nil {
			return failed, err
		}
	}
	for n := range linkEntries {
		if err := s.addEntry(fmt.Sprintf("edge-koege-%d", n+1)); err != nil {
			return failed, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return failed, err
	}
	jobs := submitLinkJobs(s)
	time.Sleep(2 * time.Second)
	link.narrow.Store(true)
	s.logf("%d jobs accepted; the link carries 60 Mbit/s each way from now on", len(jobs))
	if trouble {
		s.logf("all entries are killed")
		for _, e := range s.entries {
			e.mu.Lock()
			e.signalled = true
			_ = e.cmd.Process.Signal(syscall.SIGKILL) // fails only if it has just ended
			<-e.done
			e.mu.Unlock()
		}
		time.Sleep(linkDown)
		for _, e := range s.entries {
			e.mu.Lock()
			err := s.restart(e)
			e.mu.Unlock()
			if err != nil {
				return failed, err
			}
		}
	}
	before := link.carried.Load()
	looks := readWhile(s, jobs)
	s.logf("%.1f MB came over the link in %s; %d of %d reads meanwhile gave the results", float64(link.carried.Load()-before)/1e6, linkWait, looks[http.StatusOK], looks[0])
	return judgeReadable(s, jobs), nil
}

func submitLinkJobs(s *stage) []*job {
	var mu sync.Mutex
	var jobs []*job
	var all sync.WaitGroup
	const clients = 6
	for c := range clients {
		all.Go(func() {
			for i := c; i < linkJobs; i += clients {
				j := newJob(fmt.Sprintf("7c41e09b%04x", i*2654435761>>7&0xffff), linkItems, linkItemBytes)
				if s.submit(j, i, 3) {
					mu.Lock()
					jobs = append(jobs, j)
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	return jobs
}

// readWhile reads jobs now and then, as callers do, for linkWait. It returns the number of reads by
// status, and of all under 0.
func readWhile(s *stage, jobs []*job) map[int]int {
	var mu sync.Mutex
	looks := make(map[int]int)
	var all sync.WaitGroup
	for range linkReaders {
		all.Go(func() {
			for end := time.Now().Add(linkWait); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
				j := jobs[rand.IntN(len(jobs))]
				got := s.call(s.entries[rand.IntN(len(s.entries))].callers, http.MethodGet, names.Jobs+j.id+"?After=0", j.id+"-l", nil, nil)
				mu.Lock()
				looks[got.status]++
				looks[0]++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return looks
}

// judgeReadable judges the rule LOST: at the end a batch job can't be read, again after each
// failure.
func judgeReadable(s *stage, jobs []*job) int {
	const tries, pause, sample = 4, 500 * time.Millisecond, 60
	var lost atomic.Int64
	var all sync.WaitGroup
	for _, j := range jobs[:min(sample, len(jobs))] {
		all.Go(func() {
			var statuses []int
			for range tries {
				e := s.entries[rand.IntN(len(s.entries))]
				total, status := s.read(e, j)
				if status == http.StatusOK && total == len(j.items) {
					return
				}
				statuses = append(statuses, status)
				time.Sleep(pause)
			}
			lost.Add(1)
			s.logf("job %s can't be read: %v", j.id, statuses)
		})
	}
	all.Wait()
	s.logf("%d of %d jobs can't be read", lost.Load(), min(sample, len(jobs)))
	if lost.Load() > 0 {
		return broken
	}
	return held
}
