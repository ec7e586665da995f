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

// Life is the life cycle of one request at the agent. It is authoritative on
// whether the request ran.
type Life struct {
	machine *stateless.StateMachine
}

// NewLife returns the life cycle of a new request, which is in state Queued.
func NewLife() *Life {
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
	return &Life{machine: m}
}

// Fire applies a trigger. It reports false if the current state does not permit it.
func (l *Life) Fire(t Trigger) bool {
	return l.machine.Fire(t) == nil
}

// State returns the current state.
func (l *Life) State() State {
	return l.machine.MustState().(State)
}

// Ran returns whether the request was executed, at least in part.
func (l *Life) Ran() wire.Ran {
	switch l.State() {
	case Queued, Revoked:
		return wire.Ran_RAN_NO
	default:
		return wire.Ran_RAN_YES
	}
}
