package intake_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceford/intake"
)

const (
	connBytes = 8 << 10
	bodyBytes = 4 << 20
	tick      = 100 * time.Millisecond
)

// client uploads one body at a rate, in bytes per second, and stops short of its last stopAt bytes.
type client struct {
	id       intake.ID
	size     int
	rate     float64
	stopAt   int
	received int
	granted  bool
	over     bool // served, refused or evicted
	served   bool
}

// process is a process that reads uploads by a Pool's decisions.
type process struct {
	pool    *intake.Pool
	now     time.Duration
	clients map[intake.ID]*client
	lastID  intake.ID
	peak    int64
}

func newProcess(limits intake.Limits) *process {
	return &process{pool: intake.New(limits), clients: make(map[intake.ID]*client)}
}

// start opens a connection for an upload.
func (p *process) start(c *client) *client {
	p.lastID++
	c.id = p.lastID
	if !p.pool.Open(p.now, c.id) {
		c.over = true
		return c
	}
	p.clients[c.id] = c
	p.pool.Received(p.now, c.id, 300)
	p.pool.HeaderEnded(p.now, c.id, 0)
	switch p.pool.Reserve(p.now, c.id, int64(c.size)) {
	case intake.Granted:
		c.granted = true
	case intake.Refused:
		p.end(c)
	}
	p.decide()
	return c
}

func (p *process) end(c *client) {
	c.over = true
	delete(p.clients, c.id)
	p.pool.Close(p.now, c.id)
}

func (p *process) decide() {
	for decisions := p.pool.TakeDecisions(); len(decisions) > 0; decisions = p.pool.TakeDecisions() {
		for _, d := range decisions {
			if c := p.clients[d.ID]; c != nil {
				c.granted = d.Granted
				if !d.Granted {
					p.end(c)
				}
			}
		}
	}
	used, _ := p.pool.Usage()
	p.peak = max(p.peak, used)
}

// run lets time pass.
func (p *process) run(length time.Duration) {
	for end := p.now + length; p.now < end; p.now += tick {
		for _, c := range p.clients {
			n := min(int(c.rate*tick.Seconds()), c.size-c.stopAt-c.received)
			if !c.granted || n <= 0 {
				continue
			}
			c.received += n
			p.pool.Received(p.now, c.id, n)
			if c.received == c.size {
				c.served = p.pool.Serve(p.now, c.id)
				p.pool.Finish(p.now, c.id)
				p.end(c)
			}
		}
		p.pool.Expire(p.now)
		p.decide()
	}
}

// Guards against uploads that stop short of their end and keep all others out: a large upload on a
// slow link is served beside them, and they are not.
func TestStalledUploadsMakeRoom(t *testing.T) {
	limits := intake.Limits{Bytes: 32 << 20, Conns: 1000, ConnBytes: connBytes}
	p := newProcess(limits)
	for range 100 {
		p.start(&client{size: bodyBytes, rate: 100 << 20, stopAt: 1})
	}
	p.run(time.Second)
	slow := p.start(&client{size: bodyBytes, rate: 22 << 17})
	for range 20 {
		p.start(&client{size: bodyBytes, rate: 100 << 20, stopAt: 1})
		p.run(100 * time.Millisecond)
	}
	if !slow.served {
		t.Errorf("large upload: granted %t, ended %t, received %d bytes; want it served", slow.granted, slow.over, slow.received)
	}
	if p.peak > limits.Bytes {
		t.Errorf("%d bytes reserved, limit %d", p.peak, limits.Bytes)
	}
}

// Guards against uploads that go on at a trickle and keep others out.
func TestTricklingUploadsMakeRoom(t *testing.T) {
	p := newProcess(intake.Limits{Bytes: 32 << 20, Conns: 1000, ConnBytes: connBytes})
	for range 20 {
		p.start(&client{size: bodyBytes, rate: 1000})
	}
	p.run(2 * time.Second)
	if c := p.start(&client{size: bodyBytes, rate: 22 << 17}); !c.granted {
		t.Error("large upload not admitted beside uploads at a trickle")
	}
}

// Guards against many small requests that stop short of their end and keep large ones out.
func TestStalledSmallRequestsMakeRoomForLargeOnes(t *testing.T) {
	const small = 60 << 10
	p := newProcess(intake.Limits{Bytes: 32 << 20, Conns: 2000, ConnBytes: connBytes})
	for range 1000 {
		p.start(&client{size: small, rate: 100 << 20, stopAt: 1})
	}
	p.run(time.Second)
	if c := p.start(&client{size: bodyBytes, rate: 22 << 17}); !c.granted {
		t.Error("large upload not admitted beside small requests that stopped")
	}
}

// Guards against connections without a request that are closed in large numbers for a large upload.
func TestLargeUploadsCloseNoConnections(t *testing.T) {
	p := newProcess(intake.Limits{Bytes: 32 << 20, Conns: 2000, ConnBytes: connBytes})
	silent := p.start(&client{})
	for range 20 {
		p.start(&client{size: bodyBytes, rate: 256 << 10})
	}
	p.run(time.Second)
	p.start(&client{size: bodyBytes, rate: 256 << 10})
	if silent.over {
		t.Error("a connection without a request was closed for a large upload")
	}
}

// Guards against large uploads, also sound ones, that keep small requests out.
func TestSmallRequestsBesideLargeUploads(t *testing.T) {
	const large = 50
	p := newProcess(intake.Limits{Bytes: 8*bodyBytes + (large+1)*connBytes, Conns: 1000, ConnBytes: connBytes})
	for range large {
		p.start(&client{size: bodyBytes, rate: 1 << 20})
	}
	for range 50 {
		if c := p.start(&client{size: 2000, rate: 1 << 20}); !c.granted {
			t.Fatal("small request not admitted beside large uploads")
		}
	}
}

// Guards against silent connections that keep others out, and against closing connections for a new
// one that are used.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	const conns = 160
	p := newProcess(intake.Limits{Bytes: 32 << 20, Conns: conns, ConnBytes: connBytes})
	busy := p.start(&client{size: bodyBytes, rate: 256 << 10})
	for id := range intake.ID(2 * conns) {
		p.pool.Open(p.now, 1000+id)
	}
	p.run(time.Second)
	admitted := 0
	for range 20 {
		if c := p.start(&client{size: 2000, rate: 1 << 20}); c.granted {
			admitted++
		}
		for id := range intake.ID(2 * conns) { // those evicted have closed
			p.pool.Close(p.now, 1000+id)
		}
	}
	if admitted < 19 {
		t.Errorf("%d of 20 connections admitted beside silent ones; want all but the first", admitted)
	}
	if busy.over {
		t.Error("a connection in use was closed for new ones")
	}
}

// Guards against a process that was held up, and then takes its clients for late.
func TestPauseOfTheProcessDoesNotCount(t *testing.T) {
	p := newProcess(intake.Limits{Bytes: 32 << 20, Conns: 100, ConnBytes: connBytes})
	p.pool.SetTimeouts(intake.Timeouts{Header: 3 * time.Second, Stall: 15 * time.Second, Idle: 15 * time.Second})
	c := p.start(&client{size: bodyBytes, rate: 256 << 10})
	p.run(time.Second)
	p.now += 30 * time.Second
	p.pool.Expire(p.now)
	p.decide()
	if c.over {
		t.Error("upload ended after a pause of the process")
	}
}

// Guards against timeouts that are not kept: of a header, between two parts of a body, of an idle
// connection, and of a body as a whole.
func TestTimeouts(t *testing.T) {
	for _, c := range []struct {
		why   intake.Reason
		after time.Duration
		begin func(p *intake.Pool)
	}{
		{intake.HeaderTimeout, 3 * time.Second, func(p *intake.Pool) { p.Received(0, 1, 10) }},
		{intake.Stalled, 7 * time.Second, func(p *intake.Pool) { p.HeaderEnded(0, 1, 0) }},
		{intake.PastDeadline, 5 * time.Second, func(p *intake.Pool) { p.HeaderEnded(0, 1, 5*time.Second) }},
		{intake.IdleTimeout, 10 * time.Second, func(p *intake.Pool) { p.HeaderEnded(0, 1, 0); p.Serve(0, 1); p.Finish(0, 1) }},
	} {
		p := intake.New(intake.Limits{Bytes: 1 << 20, Conns: 10, ConnBytes: connBytes})
		p.SetTimeouts(intake.Timeouts{Header: 3 * time.Second, Stall: 7 * time.Second, Idle: 10 * time.Second})
		p.Open(0, 1)
		c.begin(p)
		for now := time.Duration(0); now <= c.after; now += time.Second {
			p.Expire(now)
			d := p.TakeDecisions()
			if ended := len(d) == 1 && d[0].Evicted && d[0].Reason == c.why; ended != (now == c.after) {
				t.Errorf("%s: decisions at %s: %+v", c.why, now, d)
			}
		}
	}
}

// Guards against accounts that do not add up: whatever connections do, no more is reserved than the
// limit, each wait ends, a request that is served is never evicted, and all is free in the end.
func TestAccountAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := intake.Limits{Bytes: rapid.Int64Range(100<<10, 4<<20).Draw(t, "bytes"), Conns: rapid.IntRange(1, 20).Draw(t, "conns"), ConnBytes: connBytes}
		p := intake.New(limits)
		p.SetTimeouts(intake.Timeouts{Header: 3 * time.Second, Idle: 6 * time.Second})
		open, serving, waiting := make(map[intake.ID]bool), make(map[intake.ID]bool), make(map[intake.ID]time.Duration)
		now, lastID := time.Duration(0), intake.ID(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := intake.ID(rapid.IntRange(1, 30).Draw(t, "id"))
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				lastID++
				if p.Open(now, lastID) {
					open[lastID] = true
				}
			case 1:
				p.Received(now, id, rapid.IntRange(1, 1<<16).Draw(t, "received"))
			case 2:
				if _, waits := waiting[id]; open[id] && !waits && p.Reserve(now, id, rapid.Int64Range(1, 1<<20).Draw(t, "n")) == intake.Waiting {
					waiting[id] = now
				}
			case 3:
				if _, waits := waiting[id]; open[id] && !waits {
					serving[id] = p.Serve(now, id)
				}
			case 4:
				if serving[id] {
					delete(waiting, id)
					p.Finish(now, id)
					delete(serving, id)
				}
			case 5:
				p.Close(now, id)
				delete(open, id)
				delete(serving, id)
				delete(waiting, id)
			default:
				now += time.Duration(rapid.IntRange(10, 900).Draw(t, "ms")) * time.Millisecond
				p.Expire(now)
			}
			for _, d := range p.TakeDecisions() {
				if d.Evicted && serving[d.ID] {
					t.Fatalf("connection %d evicted while its request is served", d.ID)
				}
				delete(waiting, d.ID)
			}
			for id, since := range waiting {
				if now-since > 2*time.Second {
					t.Fatalf("connection %d waits since %s", id, now-since)
				}
			}
			if used, conns := p.Usage(); used > limits.Bytes || used < 0 || conns > limits.Conns {
				t.Fatalf("%d bytes of %d, %d connections of %d", used, limits.Bytes, conns, limits.Conns)
			}
		}
		for id := range lastID + 1 {
			p.Close(now, id)
		}
		if used, conns := p.Usage(); used != 0 || conns != 0 {
			t.Fatalf("%d bytes and %d connections are left", used, conns)
		}
	})
}
