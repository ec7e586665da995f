// Command driver plays the cases under review/ that are scripts. It starts the program under
// test as separate processes on loopback addresses, before stand-ins of the platform and the
// targets, and plays the clients itself. It exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	failed = 2
)

// record is the record of a case: what was sent, answered and run. It is safe for concurrent
// use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// logf adds a line with the time since the start.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line) // the record is only for readers
}

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"dead":    playDead,
	"endless": playEndless,
	"stop":    playStop,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		return failed
	}
	if err := loadNames(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = file.Close() }() // the record is only for readers
	rec := &record{file: file, began: time.Now()}
	isBroken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return failed
	case isBroken:
		rec.logf("the rule was broken")
		fmt.Println("broken")
		return broken
	}
	rec.logf("the rule held")
	fmt.Println("held")
	return held
}
