package batch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceford/wire"
)

func newTestJob(n, items int, workspace string, due int64) *Job {
	var id JobID
	copy(id[:], testID(n))
	return newJob(id, &wire.CommitJob{Job: id[:], Workspace: workspace, Model: "m", DueUnixMs: due}, uint32(items))
}

// Guards against an item that kills every target that it runs on, or that fails
// other items with it. This happens when a suspect is granted together with other
// items, or when lost targets are not counted. Every agent that runs the killer
// item is lost.
func TestItemThatKillsTargetsRunsAlone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const items = 20
		killer := uint32(rapid.IntRange(0, items-1).Draw(rt, "killer"))
		d := NewDispatcher(DefaultLimits())
		j := newTestJob(1, items, "w", 0)
		d.Add(j)
		now := time.Unix(0, 0)
		lost, rounds := 0, 0
		failed := map[uint32]bool{}
		for !allTerminal(j) {
			if rounds++; rounds > 200 {
				rt.Fatalf("job not completed after %d rounds and %d lost targets", rounds, lost)
			}
			now = now.Add(time.Minute)
			agent := fmt.Sprint("agent-", rounds)
			picks := d.Grant(now, agent, 1+rapid.IntRange(0, 9).Draw(rt, "want"), []string{"m"})
			ran := drawRan(rt, picks)
			killed := false
			for _, p := range ran {
				d.MarkStarted(p.Key, agent)
				killed = killed || p.Key.Index == killer
			}
			if killed {
				lost++
				for _, key := range d.AgentLost(agent, nil) {
					failed[key.Index] = true
					j.failed.Add(key.Index)
					d.Done(key.Job, []uint32{key.Index})
				}
				continue
			}
			for _, p := range ran {
				if d.Result(now, p.Key, agent, Report{OK: true}) == VerdictSuccess {
					j.succeeded.Add(p.Key.Index)
					d.Done(p.Key.Job, []uint32{p.Key.Index})
				}
			}
			for _, p := range picks {
				d.HandBack(p.Key, agent)
			}
		}
		if len(failed) != 1 || !failed[killer] {
			rt.Fatalf("failed items %v, want only %d", failed, killer)
		}
		if limit := 1 + int(DefaultLimits().MaxTargetLosses); lost > limit {
			rt.Fatalf("%d targets lost, want at most %d", lost, limit)
		}
	})
}

// drawRan returns the granted items that an agent runs: a suspect by itself, or
// all others.
func drawRan(rt *rapid.T, picks []Pick) []Pick {
	var alone, together []Pick
	for _, p := range picks {
		if p.Alone {
			alone = append(alone, p)
		} else {
			together = append(together, p)
		}
	}
	if len(alone) > 1 {
		rt.Fatalf("%d suspects granted to one agent, want at most 1", len(alone))
	}
	if len(alone) == 1 && (len(together) == 0 || rapid.Bool().Draw(rt, "suspect first")) {
		return alone
	}
	return together
}

func allTerminal(j *Job) bool {
	return j.doneCount() == uint64(j.Total)
}

// Workspaces with a backlog get grants in proportion to their weights, whatever
// the sizes of their jobs. Within a workspace the job with the earliest deadline
// goes first.
func TestGrantsFollowSharesAndDueTimes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := map[string]float64{"a": float64(rapid.IntRange(1, 9).Draw(rt, "a")), "b": float64(rapid.IntRange(1, 9).Draw(rt, "b"))}
		d := NewDispatcher(DefaultLimits())
		d.SetShares(func(ws string) float64 { return weights[ws] })
		d.Add(newTestJob(1, 3000, "a", 20))
		d.Add(newTestJob(2, 3000, "a", 10))
		d.Add(newTestJob(3, 3000, "b", 5))
		got := map[string]float64{}
		for _, p := range d.Grant(time.Unix(0, 0), "agent", 1000, []string{"m"}) {
			got[p.Job.Commit.GetWorkspace()]++
			if p.Key.Job == JobID(testID(1)) {
				rt.Fatal("item of the job with the later deadline granted first")
			}
		}
		want := 1000 * weights["a"] / (weights["a"] + weights["b"])
		if diff := got["a"] - want; diff > 2 || diff < -2 {
			rt.Fatalf("workspace a got %.0f of 1000, want %.1f", got["a"], want)
		}
	})
}
