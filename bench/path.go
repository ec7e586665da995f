package bench

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"pumiceford/engine"
	"pumiceford/engine/enginehttp"
	"pumiceford/httpx"
	"pumiceford/standin"
)

// PathLine is the latency of one-token requests over one path. Its name is a value in the
// JSON output of pumice-bench.
type PathLine struct {
	Name                string  `json:"name"`
	P50Ms               float64 `json:"p50_ms"`
	P99Ms               float64 `json:"p99_ms"`
	CPUMicrosPerRequest float64 `json:"cpu_us_per_request"`
}

// Path compares direct requests to the simulated engine with requests through an entry
// and an agent. Rounds of both alternate within one run.
type Path struct {
	RequestsPerSecond int        `json:"requests_per_second"`
	Lines             []PathLine `json:"lines"`
	AddedP50Ms        float64    `json:"added_p50_ms"`
	AddedP99Ms        float64    `json:"added_p99_ms"`
	// NoiseP50Ms is the measurement noise: the difference between two series of direct
	// requests.
	NoiseP50Ms float64 `json:"noise_p50_ms"`
}

// Sizes of the path experiment.
const (
	pathRate      = 1000 // requests a second
	pathRounds    = 6
	pathRoundTime = time.Second
)

// RunPath measures the latency that an entry and an agent add on loopback.
func RunPath(ctx context.Context) (Path, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Path{}, err
	}
	sim := standin.NewEngine(ctx, standin.EngineSettings{Models: []string{benchModel}, StepBase: time.Millisecond, MaxRunning: 256})
	h := httpx.NewServer(ln, standin.MaxBody)
	standin.RouteEngine(h, sim)
	go func() { _ = httpx.Serve(ctx, h) }()
	eng, err := enginehttp.New("http://" + ln.Addr().String())
	if err != nil {
		return Path{}, err
	}
	p, err := newPair(ctx, eng, 256)
	if err != nil {
		return Path{}, err
	}
	direct := func() error { return requestEngine(ctx, eng) }
	viaEntry := func() error { return p.request(ctx, 1) }
	runs := []*pathRun{{name: "engine directly", call: direct}, {name: "engine directly, again", call: direct}, {name: "entry and agent", call: viaEntry}}
	for range pathRounds {
		for _, r := range runs {
			if err := r.runRound(); err != nil {
				return Path{}, err
			}
		}
	}
	out := Path{RequestsPerSecond: pathRate}
	for _, r := range runs {
		out.Lines = append(out.Lines, r.line())
	}
	out.AddedP50Ms = out.Lines[2].P50Ms - out.Lines[0].P50Ms
	out.AddedP99Ms = out.Lines[2].P99Ms - out.Lines[0].P99Ms
	out.NoiseP50Ms = out.Lines[1].P50Ms - out.Lines[0].P50Ms
	return out, nil
}

func requestEngine(ctx context.Context, eng engine.Engine) error {
	st, err := eng.Generate(ctx, engine.Request{ID: uuid.NewString(), Model: benchModel, Prompt: "prompt", MaxTokens: 1})
	if err != nil {
		return err
	}
	defer st.Cancel()
	for {
		c, err := st.Next(ctx)
		if err != nil || c.FinishReason != "" {
			return err
		}
	}
}

// pathRun collects the measurements of one path. Medians over the rounds limit the
// influence of a single slow round.
type pathRun struct {
	name       string
	call       func() error
	p50, p99   []float64
	cpuSeconds float64
	calls      int
}

// runRound sends pathRate requests a second for pathRoundTime. It returns the error of
// a failed request, if any.
func (r *pathRun) runRound() error {
	hist := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var failed error
	var wg sync.WaitGroup
	used := measureCPU(func() {
		began := time.Now()
		for n := range int(pathRate * pathRoundTime.Seconds()) {
			time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / pathRate)))
			wg.Go(func() {
				at := time.Now()
				err := r.call()
				took := time.Since(at)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed = err
					return
				}
				// RecordValue fails above one minute, which no request here exceeds.
				_ = hist.RecordValue(int64(took))
			})
		}
		wg.Wait()
	})
	r.cpuSeconds += used
	r.calls += int(pathRate * pathRoundTime.Seconds())
	r.p50 = append(r.p50, float64(hist.ValueAtQuantile(50))/1e6)
	r.p99 = append(r.p99, float64(hist.ValueAtQuantile(99))/1e6)
	return failed
}

func (r *pathRun) line() PathLine {
	return PathLine{Name: r.name, P50Ms: median(r.p50), P99Ms: median(r.p99), CPUMicrosPerRequest: r.cpuSeconds / float64(r.calls) * 1e6}
}

func median(v []float64) float64 {
	v = slices.Clone(v)
	slices.Sort(v)
	return v[len(v)/2]
}
