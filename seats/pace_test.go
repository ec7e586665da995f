package seats_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceford/seats"
)

// tokensAt returns the runs of a target after a time at a speed.
func tokensAt(runs int, elapsed, perToken time.Duration) []seats.Run {
	var out []seats.Run
	for i := range runs {
		out = append(out, seats.Run{ID: fmt.Sprint(i), Tokens: 1 + int(elapsed/perToken)})
	}
	return out
}

const pollEvery = 25 * time.Millisecond

// Guards against a momentary token time that is behind the speed of the machine, and against
// a usual one that follows the neighbours.
func TestTokenTimesFollowTheSpeed(t *testing.T) {
	start := time.Unix(1000, 0)
	p := seats.NewPace()
	made := time.Duration(0) // time at 20 ms for a token
	now := start
	step := func(slower int) {
		now, made = now.Add(pollEvery), made+pollEvery/time.Duration(slower)
		p.Observe(now, tokensAt(8, made, 20*time.Millisecond))
	}
	for range 400 {
		step(1)
	}
	quick, usual := p.TokenTimes()
	if quick < 17*time.Millisecond || quick > 23*time.Millisecond || usual < 19*time.Millisecond || usual > 21*time.Millisecond {
		t.Fatalf("at 20 ms for a token: got %s and %s", quick, usual)
	}
	for range 12 { // 300 ms
		step(4)
	}
	quick, usual = p.TokenTimes()
	if quick < 40*time.Millisecond || usual > 25*time.Millisecond {
		t.Fatalf("300 ms after the target became four times as slow: got %s and %s", quick, usual)
	}
	p.Reset()
	if quick, usual = p.TokenTimes(); quick != 0 || usual != 0 {
		t.Fatalf("after a restart: got %s and %s, want unknown", quick, usual)
	}
}

// Guards against a target that has stopped making tokens and counts as usual or as fast.
func TestStalledTargetIsSlow(t *testing.T) {
	now := time.Unix(1000, 0)
	p := seats.NewPace()
	for i := range 100 {
		now = now.Add(pollEvery)
		p.Observe(now, tokensAt(8, min(time.Duration(i), 60)*pollEvery, 20*time.Millisecond))
	}
	if quick, _ := p.TokenTimes(); quick < 200*time.Millisecond {
		t.Fatalf("a second after the last token: got %s for a token", quick)
	}
}

// Guards against times that are negative or without bound from runs that begin, end, repeat
// or go backwards.
func TestTokenTimesAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := seats.NewPace()
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(rt, "polls") {
			now = now.Add(time.Duration(rapid.IntRange(-50, 2000).Draw(rt, "ms")) * time.Millisecond)
			var runs []seats.Run
			for range rapid.IntRange(0, 9).Draw(rt, "runs") {
				runs = append(runs, seats.Run{ID: fmt.Sprint(rapid.IntRange(0, 9).Draw(rt, "id")), Tokens: rapid.IntRange(0, 1<<31-1).Draw(rt, "tokens")})
			}
			p.Observe(now, runs)
			for _, d := range func() []time.Duration { a, b := p.TokenTimes(); return []time.Duration{a, b} }() {
				if d < 0 || d > time.Minute {
					rt.Fatalf("token time %s", d)
				}
			}
		}
	})
}
