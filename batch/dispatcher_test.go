package batch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceford/wire"
)

func dispatchJob(n, items int, workspace string, due int64) *Job {
	var id JobID
	copy(id[:], testID(n))
	return newJob(id, &wire.CommitJob{Job: id[:], Workspace: workspace, Model: "m", DueUnixMs: due}, uint32(items))
}

// Symptom: an item that kills its target takes the targets one after another, or
// its neighbours fail with it. Sequence: agents that run a job are lost whenever
// they hold the killer. Cause guarded against: suspects that are granted beside
// innocent items, and losses that are not counted.
func TestKillerIsIsolated(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const items = 20
		killer := uint32(rapid.IntRange(0, items-1).Draw(rt, "killer"))
		d := NewDispatcher(DefaultLimits())
		j := dispatchJob(1, items, "w", 0)
		d.Add(j)
		now := time.Unix(0, 0)
		lost, rounds := 0, 0
		dead := map[uint32]bool{}
		for !allTerminal(j) {
			if rounds++; rounds > 200 {
				rt.Fatalf("no end after %d rounds and %d lost targets", rounds, lost)
			}
			now = now.Add(time.Minute)
			agent := fmt.Sprint("agent-", rounds)
			picks := d.Grant(now, agent, 1+rapid.IntRange(0, 9).Draw(rt, "want"), []string{"m"})
			ran := started(rt, picks)
			dies := false
			for _, p := range ran {
				d.MarkStarted(p.Key, agent)
				dies = dies || p.Key.Index == killer
			}
			if dies {
				lost++
				for _, key := range d.AgentLost(agent, nil) {
					dead[key.Index] = true
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
		if len(dead) != 1 || !dead[killer] {
			rt.Fatalf("failed items %v, want only %d", dead, killer)
		}
		if most := 1 + int(DefaultLimits().MaxTargetLoss); lost > most {
			rt.Fatalf("%d targets lost, at most %d expected", lost, most)
		}
	})
}

// started returns what an agent runs of its grants: a suspect by itself, or the
// others.
func started(rt *rapid.T, picks []Pick) []Pick {
	var alone, together []Pick
	for _, p := range picks {
		if p.Alone {
			alone = append(alone, p)
		} else {
			together = append(together, p)
		}
	}
	if len(alone) > 1 {
		rt.Fatalf("%d suspects on one target", len(alone))
	}
	if len(alone) == 1 && (len(together) == 0 || rapid.Bool().Draw(rt, "suspect first")) {
		return alone
	}
	return together
}

func allTerminal(j *Job) bool {
	return j.done() == uint64(j.Total)
}

// Shares hold between workspaces with a backlog whatever their jobs' sizes, and
// within a workspace the job due first goes first.
func TestGrantsFollowSharesAndDueTimes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := map[string]float64{"a": float64(rapid.IntRange(1, 9).Draw(rt, "a")), "b": float64(rapid.IntRange(1, 9).Draw(rt, "b"))}
		d := NewDispatcher(DefaultLimits())
		d.SetShares(func(ws string) float64 { return weights[ws] })
		d.Add(dispatchJob(1, 3000, "a", 20))
		d.Add(dispatchJob(2, 3000, "a", 10))
		d.Add(dispatchJob(3, 3000, "b", 5))
		got := map[string]float64{}
		for _, p := range d.Grant(time.Unix(0, 0), "agent", 1000, []string{"m"}) {
			got[p.Job.Commit.GetWorkspace()]++
			if p.Key.Job == JobID(testID(1)) {
				rt.Fatal("the job due later went first")
			}
		}
		want := 1000 * weights["a"] / (weights["a"] + weights["b"])
		if diff := got["a"] - want; diff > 2 || diff < -2 {
			rt.Fatalf("workspace a got %.0f of 1000, want %.1f", got["a"], want)
		}
	})
}
