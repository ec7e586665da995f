package waitroom

import (
	"math"
	"time"

	"pumiceford/fairshare"
)

// minAllowanceShare is the part of the allowance that is left to a workspace however far it is
// beyond its share: it may still use slots that become free at once.
const minAllowanceShare = 0.1

// maxLateExcess is the Excess up to which a workspace's retries may use the budget for late ones.
// Shares are estimates, so that a workspace near its share is not put behind others for it.
const maxLateExcess = 0.5

// MayBeLate reports whether a retry of a workspace may join a queue in which it is probably late,
// as far as the budget allows.
func MayBeLate(standing fairshare.Standing) bool {
	return standing.Excess <= maxLateExcess
}

// Allowance returns how long a request of the given standing may be estimated to wait where one
// within its share may wait for full. Under contention a workspace beyond its share is thus
// refused before one within it. With a standing of zero Excess it returns full.
func Allowance(full time.Duration, standing fairshare.Standing) time.Duration {
	if standing.Excess <= 0 {
		return full
	}
	return time.Duration(max(1/(1+standing.Excess), minAllowanceShare) * float64(full))
}

// Input is what the admission of a request to a room depends on.
type Input struct {
	Standing  fairshare.Standing
	Allowance time.Duration // longest estimated wait of a request within its share
	Before    int           // tickets that would go before it
	Freed     float64       // slots a second that become free to this process
}

// Decision is the result of an admission.
type Decision struct {
	Admitted  bool
	Wait      time.Duration // expected wait
	Spread    time.Duration // by how much the wait may fall short of that
	Allowance time.Duration // longest wait admitted for its standing
}

// maxWait bounds the expected wait where no slots become free.
const maxWait = time.Hour

// spreadDeviations is the number of standard deviations by which slots may become free sooner
// than expected before a request is refused at once. A ticket that waits in vain costs no slot,
// a request that is refused too early leaves one idle.
const spreadDeviations = 2

// Pays reports whether a process can expect to win a slot for a request within its allowance.
// If it cannot, the queue of a target serves the request sooner.
func Pays(freed float64, allowance time.Duration) bool {
	return freed*allowance.Seconds() >= 1
}

// Admit decides whether a request may enter a room. The first ticket is always admitted, since
// the rate says little of a single slot.
func Admit(in Input) Decision {
	d := Decision{Allowance: Allowance(in.Allowance, in.Standing), Wait: maxWait}
	inTime := false
	if in.Freed > 0 {
		// Slots become free at random, so the time of the n-th has a deviation of sqrt(n).
		n := float64(in.Before + 1)
		wait, spread := n/in.Freed, spreadDeviations*math.Sqrt(n)/in.Freed
		// The bound of the reported times must not decide: their difference would shrink with n.
		inTime = wait-spread <= d.Allowance.Seconds()
		d.Wait, d.Spread = seconds(min(wait, maxWait.Seconds())), seconds(min(spread, maxWait.Seconds()))
	}
	d.Admitted = d.Allowance > 0 && (in.Before == 0 || inTime)
	return d
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
