package seats

import (
	"math"
	"time"
)

// Run is a request that runs at a target.
type Run struct {
	ID     string
	Tokens int // tokens made so far
}

// Averaging of token times.
const (
	// quickWindow is the time over which the momentary token time is averaged. Work of
	// neighbours on a machine changes its speed several times a second.
	quickWindow = 150 * time.Millisecond
	// usualWindow is the time over which the usual token time is averaged, several changes
	// of the neighbours' work long.
	usualWindow = 5 * time.Second
	// minObservedTokens is the number of tokens that a token time needs. Each run makes whole
	// tokens, so a few of them give a figure that only looks like a change of speed.
	minObservedTokens = 12
	// minStalledTime is the running time, added over all runs, after which a target that makes
	// fewer tokens is known to be slow.
	minStalledTime = time.Second
	// maxPollGap is the longest time between two polls of which the difference is used.
	maxPollGap = time.Second
	// minTokens is the least number of tokens that a running time is divided by. A target
	// that makes no tokens at all takes longer than any that can be observed.
	minTokens = 0.5
	// maxTokenTime bounds a token time.
	maxTokenTime = time.Minute
)

// window averages over an exponentially weighted time.
type window struct {
	length  time.Duration
	running float64 // weighted running time of all runs in seconds
	tokens  float64 // weighted number of tokens made in that time
}

func (w *window) add(elapsed time.Duration, running, tokens float64) {
	keep := math.Exp(-elapsed.Seconds() / w.length.Seconds())
	w.running, w.tokens = w.running*keep+running, w.tokens*keep+tokens
}

// tokenTime returns the average time for a token, 0 if too little was observed.
func (w *window) tokenTime() time.Duration {
	if w.tokens < minObservedTokens && w.running < minStalledTime.Seconds() {
		return 0
	}
	return min(time.Duration(w.running/max(w.tokens, minTokens)*float64(time.Second)), maxTokenTime)
}

// Pace measures from successive loads of a target how long a token of each of its runs takes.
// It does no I/O, reads no clock and is not safe for concurrent use.
type Pace struct {
	quick, usual window
	at           time.Time      // time of the last load
	made         map[string]int // tokens of each run at that time
}

// NewPace returns a Pace that knows nothing.
func NewPace() *Pace {
	return &Pace{quick: window{length: quickWindow}, usual: window{length: usualWindow}, made: make(map[string]int)}
}

// Observe takes the runs of a load into account. Runs that began or were read again since the
// previous load say nothing.
func (p *Pace) Observe(now time.Time, runs []Run) {
	elapsed := now.Sub(p.at)
	usable := !p.at.IsZero() && elapsed > 0 && elapsed <= maxPollGap
	running, tokens := 0.0, 0.0
	made := make(map[string]int, len(runs))
	for _, r := range runs {
		if r.Tokens <= 0 {
			continue
		}
		before, ok := p.made[r.ID]
		made[r.ID] = r.Tokens
		if ok && r.Tokens >= before {
			running += elapsed.Seconds()
			tokens += float64(r.Tokens - before)
		}
	}
	p.at, p.made = now, made
	if !usable {
		return
	}
	p.quick.add(elapsed, running, tokens)
	if running > 0 { // an idle machine stays as fast as it was
		p.usual.add(elapsed, running, tokens)
	}
}

// Reset forgets everything, as the target may have been restarted on a changed machine.
func (p *Pace) Reset() {
	*p = *NewPace()
}

// TokenTimes returns the momentary and the usual time for a token of each run; 0 if unknown.
func (p *Pace) TokenTimes() (quick, usual time.Duration) {
	return p.quick.tokenTime(), p.usual.tokenTime()
}
