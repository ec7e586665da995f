package estimate_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceford/estimate"
)

// Guards against one average for requests that differ in size by ten times.
func TestHoldTimeFollowsTheSizeAndThePace(t *testing.T) {
	m := estimate.NewModel()
	work := func(tokens int) estimate.Work {
		return estimate.Work{Class: "r", PromptTokens: 200, MaxOutputTokens: 1000, LengthHint: tokens}
	}
	const perToken = 10 * time.Millisecond
	for i := range 200 {
		size, pace := 20+180*(i%2), 1+1.5*float64(i/2%2)
		m.ObserveRequest("s", work(size), pace, time.Duration(pace*float64(size))*perToken)
	}
	for _, size := range []int{20, 100, 200} {
		for _, pace := range []float64{0.6, 1, 2.5} {
			want := time.Duration(pace * float64(size) * float64(perToken))
			got := m.Hold("s", work(size), pace)
			if got.Mean < want*9/10 || got.Mean > want*11/10 || got.High < got.Mean {
				t.Errorf("%d tokens at pace %v: got %+v, want a mean of %s", size, pace, got, want)
			}
		}
	}
}

// Guards against a change for work of which no tokens are known.
func TestUnknownSizesGetTheAverageOfTheService(t *testing.T) {
	m := estimate.NewModel()
	for range 100 {
		m.ObserveRequest("s", estimate.Work{Class: "r"}, estimate.UsualPace, 300*time.Millisecond)
	}
	for _, class := range []string{"", "r", "other"} {
		if got := m.HoldTime("s", estimate.Work{Class: class}, estimate.UsualPace); got < 290*time.Millisecond || got > 320*time.Millisecond {
			t.Errorf("class %q: got %s, want about 300 ms", class, got)
		}
	}
}

// Guards against estimates that are zero, fall with the size or the pace, or grow without
// bound in memory.
func TestEstimatesArePositiveAndMonotone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := estimate.NewModel()
		sizes := rapid.IntRange(1, 100_000)
		draw := func(label string) estimate.Work {
			return estimate.Work{
				Class: fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, label+" class")), PromptTokens: sizes.Draw(rt, label+" prompt"),
				MaxOutputTokens: sizes.Draw(rt, label+" output"), LengthHint: rapid.IntRange(0, 2000).Draw(rt, label+" hint"),
			}
		}
		paces := rapid.Float64Range(0.1, 10)
		for range rapid.IntRange(0, 60).Draw(rt, "observations") {
			w, pace := draw("seen"), paces.Draw(rt, "pace")
			took := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(rt, "took"))
			events := uint64(rapid.IntRange(0, 5000).Draw(rt, "events"))
			m.ObserveRequest("s", w, pace, took)
			m.ObserveStream("s", w, pace, took, events, took)
			m.ObserveRun(w, pace, events, took)
			m.ObserveItem(w, events)
		}
		w, pace := draw("asked"), paces.Draw(rt, "pace")
		larger, slower := w, pace*rapid.Float64Range(1, 4).Draw(rt, "slower")
		larger.PromptTokens += sizes.Draw(rt, "more")
		larger.MaxOutputTokens += sizes.Draw(rt, "more")
		if w.LengthHint > 0 {
			larger.LengthHint += sizes.Draw(rt, "more")
		}
		done := uint64(rapid.IntRange(0, 300).Draw(rt, "done"))
		for name, of := range map[string]func(w estimate.Work, pace float64) estimate.Estimate{
			"hold":  func(w estimate.Work, pace float64) estimate.Estimate { return m.Hold("s", w, pace) },
			"first": func(w estimate.Work, pace float64) estimate.Estimate { return m.FirstEvent("s", w, pace) },
			"gap":   func(w estimate.Work, pace float64) estimate.Estimate { return m.EventGap("s", w, pace) },
			"item":  func(w estimate.Work, pace float64) estimate.Estimate { return m.Item(w, pace, done) },
		} {
			got := of(w, pace)
			unknown := (name == "first" || name == "gap") && got == estimate.Estimate{}
			if !unknown && (got.Mean <= 0 || got.High < got.Mean) {
				rt.Fatalf("%s of %+v at pace %v: %+v", name, w, pace, got)
			}
			if more := of(larger, slower); more.Mean < got.Mean || more.High < got.High {
				rt.Fatalf("%s of %+v at pace %v: %+v, of the larger %+v at pace %v: %+v", name, w, pace, got, larger, slower, more)
			}
		}
	})
}

// Guards against a model that grows with each route that there ever was, and forgets the
// routes in use for those that are gone.
func TestClassesAreBounded(t *testing.T) {
	m := estimate.NewModel()
	kept := estimate.Work{Class: "kept", MaxOutputTokens: 100}
	for i := range 20_000 {
		m.ObserveRequest("s", estimate.Work{Class: fmt.Sprint(i), MaxOutputTokens: 100}, estimate.UsualPace, time.Second)
		if i%100 == 0 {
			m.ObserveRequest("s", kept, estimate.UsualPace, 100*time.Millisecond)
		}
	}
	if got := m.HoldTime("s", kept, estimate.UsualPace); got > 110*time.Millisecond {
		t.Errorf("class in use: got %s, want 100 ms", got)
	}
	if got := m.HoldTime("s", estimate.Work{Class: "0", MaxOutputTokens: 100}, estimate.UsualPace); got < 500*time.Millisecond {
		t.Errorf("dropped class: got %s, want the average of the service", got)
	}
}
