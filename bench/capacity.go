package bench

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"pumiceford/config"
	"pumiceford/httpx"
	"pumiceford/infra"
	"pumiceford/infra/infrahttp"
	"pumiceford/link"
	"pumiceford/standin"
	"pumiceford/wire"
)

// Capacity holds the slopes that the capacity page is worked out from.
type Capacity struct {
	Machine string  `json:"machine"`
	Slopes  []Slope `json:"slopes"`
}

// RunCapacity measures all slopes. It takes about a minute.
func RunCapacity(ctx context.Context) (Capacity, error) {
	c := Capacity{Machine: fmt.Sprintf("%s, %d cores, %s", runtime.GOARCH, runtime.NumCPU(), runtime.Version())}
	for _, part := range []func(context.Context) ([]Slope, error){
		sessionSlopes, pollSlopes, foldSlopes, jobSlopes, partitionSlopes, configSlopes, onlineSlopes,
	} {
		s, err := part(ctx)
		if err != nil {
			return c, err
		}
		c.Slopes = append(c.Slopes, s...)
	}
	return c, nil
}

// countingConn counts the bytes that pass it. Connections between peers are
// wrapped at both ends, so each byte counts twice there.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, bytes: l.bytes}, nil
}

// idleFor is how long idle sessions are watched for one point.
const idleFor = 4 * time.Second

// sessionSlopes measures control sessions without streams: bytes that one end
// writes a second while its status stands still and while it changes all the
// time, and one end's share of processor time and memory.
func sessionSlopes(ctx context.Context) ([]Slope, error) {
	var still, busy, used, memory []Point
	for _, n := range []int{16, 32, 64, 128} {
		x := float64(n)
		quiet, err := idleSessions(ctx, n, false)
		if err != nil {
			return nil, err
		}
		changing, err := idleSessions(ctx, n, true)
		if err != nil {
			return nil, err
		}
		still = append(still, Point{x, quiet.bytes})
		busy = append(busy, Point{x, changing.bytes})
		used = append(used, Point{x, changing.cpu})
		memory = append(memory, Point{x, quiet.memory})
	}
	return []Slope{
		Fit("session_bytes", "bytes/s written by one end of a control session, status unchanged", still),
		Fit("session_busy_bytes", "bytes/s written by one end of a control session, status changing", busy),
		Fit("session_cpu", "core share of one end of a control session, status changing", used),
		Fit("session_memory", "bytes of memory at one end of a control session", memory),
	}, nil
}

// idleCost is what one end of all sessions spent.
type idleCost struct {
	bytes, cpu, memory float64
}

func idleSessions(ctx context.Context, n int, changing bool) (idleCost, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := heap()
	var count atomic.Int64
	var calls atomic.Uint32
	status := func() *wire.NodeStatus {
		st := &wire.NodeStatus{Node: "agent-0123", Incarnation: make([]byte, 16), DataCentre: "kakkanad-a", Models: []string{benchModel}, Seats: 64}
		if changing {
			st.OnlineRunning = calls.Add(1)
		}
		return st
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return idleCost{}, err
	}
	cfg := link.Config{Node: "entry-0123", Status: status}
	go func() { _ = link.Serve(ctx, countingListener{ln, &count}, cfg) }()
	peers := make([]*link.Peer, n)
	for i := range peers {
		peers[i] = link.NewPeer(cfg, ln.Addr().String())
		go peers[i].Keep(ctx, link.Control, time.Second)
	}
	time.Sleep(time.Second)
	// What passes the accepting side is what both ends write.
	const ends = 2
	out := idleCost{memory: (heap() - before) / ends}
	count.Store(0)
	used := spent(func() { time.Sleep(idleFor) })
	for _, p := range peers {
		p.Close()
	}
	out.bytes = float64(count.Load()) / idleFor.Seconds() / ends
	out.cpu = used / idleFor.Seconds() / ends
	return out, nil
}

// pollSlopes measures what a node's polls of the platform cost over HTTP while
// nothing changes: bytes in both directions and processor time of both ends.
func pollSlopes(ctx context.Context) ([]Slope, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var count atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	list := standin.NewHostList(0, fleetHosts()...)
	h := httpx.NewServer(countingListener{ln, &count}, standin.MaxBody)
	standin.RoutePlatform(h, standin.NewLog(standin.LogSettings{}), list, &standin.Weights{})
	go func() { _ = httpx.Serve(ctx, h) }()
	cl, err := infrahttp.New("http://" + ln.Addr().String())
	if err != nil {
		return nil, err
	}
	poll := func() error {
		_, err := cl.Read(ctx, config.StreamName, 0, 1<<20, 0)
		return err
	}
	hosts := func() error {
		_, err := cl.Hosts(ctx)
		return err
	}
	if err := hosts(); err != nil {
		return nil, err
	}
	logBytes, logCPU, err := pollPoints(&count, poll)
	if err != nil {
		return nil, err
	}
	hostBytes, hostCPU, err := pollPoints(&count, hosts)
	if err != nil {
		return nil, err
	}
	return []Slope{
		Fit("log_poll_bytes", "bytes in both directions for each idle read of the log", logBytes),
		Fit("log_poll_cpu", "core seconds of both ends for each idle read of the log", logCPU),
		Fit("hosts_poll_bytes", "bytes in both directions for each read of an unchanged host list", hostBytes),
		Fit("hosts_poll_cpu", "core seconds of both ends for each read of an unchanged host list", hostCPU),
	}, nil
}

// fleetHosts is a host list of the letter's size.
func fleetHosts() []infra.Host {
	var out []infra.Host
	for n := range LetterEntries + LetterAgents {
		role := infra.RoleAgent
		if n < LetterEntries {
			role = infra.RoleEntry
		}
		out = append(out, infra.Host{Name: fmt.Sprintf("%s-%04d", role, n), Role: role, Addr: fmt.Sprintf("10.0.%d.%d:9000", n/250, n%250), DataCentre: "kakkanad-a"})
	}
	return out
}

func pollPoints(count *atomic.Int64, poll func() error) (bytes, used []Point, err error) {
	for _, n := range []int{200, 400, 800, 1600} {
		count.Store(0)
		took := spent(func() {
			for range n {
				if err == nil {
					err = poll()
				}
			}
		})
		bytes = append(bytes, Point{float64(n), float64(count.Load())})
		used = append(used, Point{float64(n), took})
	}
	return bytes, used, err
}
