package plainlog

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"pumiceford/httpx"
	"pumiceford/settings"
	"pumiceford/standin"
)

// RunStandin runs pumice-standin until stop ends.
func RunStandin(stop context.Context, set *settings.Standin) error {
	g, ctx := errgroup.WithContext(stop)
	if p := set.Platform; p != nil {
		ln, err := settings.Listen(p.Listen)
		if err != nil {
			return err
		}
		h := httpx.NewServer(ln, standin.MaxBody)
		log, hosts, weights := NewStandinPlatform(p)
		standin.RoutePlatform(h, log, hosts, weights)
		g.Go(func() error { return httpx.Serve(ctx, h) })
	}
	for _, e := range set.Engines {
		ln, err := settings.Listen(e.Listen)
		if err != nil {
			return err
		}
		h := httpx.NewServer(ln, standin.MaxBody)
		standin.RouteEngine(h, NewStandinEngine(ctx, e))
		g.Go(func() error { return httpx.Serve(ctx, h) })
	}
	for _, s := range set.Services {
		ln, err := settings.Listen(s.Listen)
		if err != nil {
			return err
		}
		h := httpx.NewServer(ln, standin.MaxBody)
		standin.RouteService(h, &standin.Service{Delay: time.Duration(s.Delay)})
		g.Go(func() error { return httpx.Serve(ctx, h) })
	}
	return g.Wait()
}

// Defaults of the weight store's stand-in.
const (
	defaultWeightBytes = 100 << 20
	defaultWeightRate  = 1 << 30 // bytes per second
)

// NewStandinPlatform builds the stand-ins of the platform's log, host list and weight
// store from settings.
func NewStandinPlatform(p *settings.StandinPlatform) (*standin.Log, *standin.HostList, *standin.Weights) {
	log := standin.NewLog(standin.LogSettings{
		AppendsPerSecond: p.AppendsPerSecond,
		Retention:        time.Duration(p.Retention),
		Latency:          time.Duration(p.Latency),
	})
	weights := &standin.Weights{ModelBytes: p.WeightBytes, BytesPerSecond: p.WeightRate}
	if weights.ModelBytes == 0 {
		weights.ModelBytes = defaultWeightBytes
	}
	if weights.BytesPerSecond == 0 {
		weights.BytesPerSecond = defaultWeightRate
	}
	return log, standin.NewHostList(time.Duration(p.HostLag), p.Hosts...), weights
}

// NewStandinEngine builds the stand-in of an engine from settings.
func NewStandinEngine(ctx context.Context, e settings.StandinEngine) *standin.Engine {
	return standin.NewEngine(ctx, standin.EngineSettings{
		Models:     e.Models,
		StepBase:   time.Duration(e.Step),
		MaxRunning: e.MaxRunning,
		KVBlocks:   e.KVBlocks,
		CheckFence: e.CheckFence,
	})
}
