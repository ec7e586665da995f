package online

import (
	"github.com/qmuntal/stateless"

	"pumiceford/wire"
)

// State is the state of a request at the agent.
type State string

// The states. Finished and Revoked are terminal.
const (
	Queued   State = "queued"
	Started  State = "started"
	Finished State = "finished"
	Revoked  State = "revoked"
)

// Trigger is an event that moves a request to another state.
type Trigger string

// The triggers.
const (
	TriggerStart  Trigger = "start"
	TriggerFinish Trigger = "finish"
	TriggerRevoke Trigger = "revoke"
)

// Lifecycle is the life cycle of one request at the agent. It is authoritative on
// whether the request ran.
type Lifecycle struct {
	machine *stateless.StateMachine
}

// NewLifecycle returns the life cycle of a new request, which is in state Queued.
func NewLifecycle() *Lifecycle {
	m := stateless.NewStateMachine(Queued)
	m.Configure(Queued).
		Permit(TriggerStart, Started).
		Permit(TriggerRevoke, Revoked)
	m.Configure(Started).
		Permit(TriggerFinish, Finished).
		Ignore(TriggerRevoke)
	m.Configure(Finished).
		Ignore(TriggerFinish).
		Ignore(TriggerRevoke)
	m.Configure(Revoked).
		Ignore(TriggerFinish).
		Ignore(TriggerRevoke)
	return &Lifecycle{machine: m}
}

// Fire applies a trigger. It reports false if the current state does not permit it.
func (l *Lifecycle) Fire(t Trigger) bool {
	return l.machine.Fire(t) == nil
}

// State returns the current state.
func (l *Lifecycle) State() State {
	return l.machine.MustState().(State)
}

// Ran returns whether the request was executed, at least in part.
func (l *Lifecycle) Ran() wire.Ran {
	switch l.State() {
	case Queued, Revoked:
		return wire.Ran_RAN_NO
	default:
		return wire.Ran_RAN_YES
	}
}
