package intake_test

import (
	"testing"
	"time"

	"pumiceford/intake"
)

// full returns a pool with open connections, of which each sends a request.
func full(conns int, limits intake.Limits) *intake.Pool {
	p := intake.New(limits)
	for id := range intake.ID(conns) {
		p.Open(0, id)
	}
	return p
}

// BenchmarkRequest measures the decisions about one small request on an open connection.
func BenchmarkRequest(b *testing.B) {
	p := full(1000, intake.Limits{Bytes: 64 << 20, Conns: 2000, ConnBytes: connBytes})
	for n := range b.N {
		now, id := time.Duration(n), intake.ID(n%1000)
		p.Received(now, id, 800)
		p.HeaderEnded(now, id, now+time.Second)
		p.Reserve(now, id, 2000)
		p.Serve(now, id)
		p.Finish(now, id)
	}
}

// BenchmarkEviction measures a new connection that has to displace one of 6,000.
func BenchmarkEviction(b *testing.B) {
	const conns = 6000
	p := full(conns, intake.Limits{Bytes: 1 << 30, Conns: conns, ConnBytes: connBytes})
	for n := range b.N {
		now := time.Hour + time.Duration(n)*time.Millisecond
		p.Open(now, intake.ID(conns+n))
		for _, d := range p.TakeDecisions() {
			p.Close(now, d.ID)
		}
	}
}
