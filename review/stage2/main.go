package main

import (
	"fmt"
	"os"
	"time"
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// cases are the cases by name.
var cases = map[string]func(s *stage, trouble bool) (int, error){
	"crash":      handOverCrash,
	"overwrites": strayOverwrites,
	"strays":     strayRegistrations,
	"born":       steppedClock,
	"misroute":   strayService,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	s, err := newStage(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.close()
	limit := time.AfterFunc(maxTime, func() {
		s.logf("not over after %s", maxTime)
		s.close()
		os.Exit(failed)
	})
	defer limit.Stop()
	trouble := os.Getenv("TROUBLE") != "0"
	s.logf("case %s, trouble %v", name, trouble)
	code, err := cases[name](s, trouble)
	if err != nil {
		s.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s.logf("exit %d", code)
	return code
}
