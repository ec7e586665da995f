package daemon

import (
	"context"
	"os"

	"golang.org/x/sync/errgroup"

	"pumiceford/fairshare"
	"pumiceford/internal/boottime"
	"pumiceford/internal/wait"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/origins"
	"pumiceford/quarantine"
	"pumiceford/seats"
	"pumiceford/settings"
	"pumiceford/wire"
)

// RunSeatAgent runs an agent beside a target until stop ends.
func RunSeatAgent(stop context.Context, reloads <-chan os.Signal, file string, set *settings.SeatAgent, source seats.LoadSource) error {
	tlsConf, err := set.TLS.Config()
	if err != nil {
		return err
	}
	listeners, err := listenAll(set.Listen, set.Metrics)
	if err != nil {
		return err
	}
	out := logging.NewAsync(os.Stdout)
	defer out.Close(logFlushTimeout)
	limitMemory(set.MemoryMB, set.GCPercent)
	limitProcs(set.MaxProcs)
	log := logging.New(logging.Settings{Level: set.Log.Level, Format: set.Log.Format, Writer: out}).WithPrefix("agent")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	ms := metrics.New(set.Name)
	a := seats.NewAgent(seats.AgentConfig{Name: set.Name, LoadSource: source, Log: log, Metrics: ms})
	tracker := quarantine.NewTracker(quarantine.Config{Log: log.WithPrefix("quarantine"), Metrics: ms})
	sums := fairshare.NewSums()
	holder := origins.NewHolder(boottime.Now, ms)
	handle := func(ctx context.Context, class link.Class, call *wire.Call, st *link.Stream) {
		switch {
		case call.GetMarks() != nil:
			tracker.Exchange(ctx, st)
		case call.GetShares() != nil:
			fairshare.Relay(ctx, call.GetShares(), st, sums)
		case call.GetOrigins() != nil:
			// Without a reply the entry records the origin elsewhere. A send fails only if the entry
			// has disconnected.
			if reply, err := holder.Serve(call.GetOrigins()); err == nil {
				_ = st.Send(reply)
			}
		default:
			a.Handle(ctx, class, call, st)
		}
	}
	g.Go(func() error { a.Run(ctx); return nil })
	g.Go(func() error { tracker.Run(ctx); return nil })
	g.Go(func() error {
		return link.Serve(ctx, listeners[0], link.Config{Node: set.Name, Handle: handle, TLS: tlsConf})
	})
	g.Go(func() error {
		return serveOps(ctx, "metrics", opsHandler(ms, tracker), listeners[1], set.Descriptors, log, ms)
	})
	g.Go(func() error {
		onReload(ctx, reloads, log, func() error {
			// No setting of an agent can change while it runs. The file is only
			// validated, so that an error shows before the next start.
			return settings.Load(file, &settings.SeatAgent{})
		})
		return nil
	})
	log.Info("started", logging.F("listen", set.Listen), logging.F("target", set.Target))
	g.Go(func() error {
		defer cancel()
		if WaitStop(ctx, stop) {
			log.Info("stopping")
			a.Drain()
			holder.Stop()
			_ = wait.For(ctx, ConnFlushDelay)
			log.Info("stopped")
		}
		return nil
	})
	return g.Wait()
}
