package plainlog

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"pumiceford/admission"
	"pumiceford/agent"
	"pumiceford/config"
	"pumiceford/connguard"
	"pumiceford/daemon"
	"pumiceford/engine"
	"pumiceford/engine/enginehttp"
	"pumiceford/httpx"
	"pumiceford/infra/infrahttp"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/oplog"
	"pumiceford/settings"
)

// defaultHarm is the largest relative increase of the engine's step time that batch work may
// cause while online requests run. It applies until a policy is in force.
const defaultHarm = 0.05

// RunAgent runs pumice-agent until stop ends, then shuts it down gracefully.
func RunAgent(stop context.Context, set *settings.Agent) error {
	plat, err := infrahttp.New(set.Platform)
	if err != nil {
		return err
	}
	var eng engine.Engine
	if set.Engine != "" {
		if eng, err = enginehttp.New(set.Engine); err != nil {
			return err
		}
	}
	services := make(map[string]agent.Service)
	for name, url := range set.Services {
		if services[name], err = enginehttp.NewService(url); err != nil {
			return err
		}
	}
	peers, err := settings.Listen(set.Listen)
	if err != nil {
		return err
	}
	ops, err := settings.Listen(set.Metrics)
	if err != nil {
		return err
	}
	return ServeAgent(stop, set, plat, eng, services, peers, ops)
}

// ServeAgent runs an agent on open listeners until stop ends, then shuts it down
// gracefully.
func ServeAgent(stop context.Context, set *settings.Agent, plat Platform, eng engine.Engine, services map[string]agent.Service, peers, ops net.Listener) error {
	tlsConf, err := set.TLS.Config()
	if err != nil {
		return err
	}
	log := set.Log.Logger()
	agentLog := log.WithPrefix("agent")
	if tlsConf == nil {
		agentLog.Warn("no TLS settings; peer connections are restricted to loopback")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	harm := set.Harm
	if harm == 0 {
		harm = defaultHarm
	}
	inc := oplog.NewIncarnation()
	series := metrics.New(set.Name)
	a := agent.New(ctx, agent.Config{
		Name: set.Name, DataCentre: set.DataCentre, Incarnation: inc, Engine: eng, Services: services,
		Admission: admission.Settings{Seats: set.Seats, Blocks: set.KVBlocks, Harm: harm},
		Log:       log, Metrics: series,
	})
	f := config.NewFollower(plat, inc, config.Operator{}, log)
	a.SetFollower(f)
	linkCfg := link.Config{Node: set.Name, Incarnation: inc, TLS: tlsConf, Status: a.Status, Handle: a.Handle}
	configPeers := agent.NewConfigPeers(plat, linkCfg)
	f.SetFetch(configPeers.Fetch)
	g.Go(func() error { configPeers.Run(ctx); return nil })
	g.Go(func() error { f.Run(ctx); return nil })
	g.Go(func() error { a.FollowConfig(ctx, f, set.Deployment, plat, plat); return nil })
	g.Go(func() error {
		return link.Serve(ctx, peers, linkCfg)
	})
	g.Go(func() error { return serveAgentOps(ctx, ops, agentLog, series) })
	g.Go(func() error {
		defer cancel()
		if !daemon.WaitStop(ctx, stop) {
			return nil
		}
		agentLog.Info("stopping")
		stopCtx, cancelStop := context.WithTimeout(context.Background(), durationOr(set.StopWithin, defaultStopWithin))
		defer cancelStop()
		logStopped(agentLog, a.Shutdown(stopCtx))
		time.Sleep(daemon.ConnFlushDelay)
		return nil
	})
	agentLog.Info("agent started", logging.F("listen", peers.Addr().String()))
	return g.Wait()
}

func serveAgentOps(ctx context.Context, ln net.Listener, log logging.Logger, set *metrics.Set) error {
	const maxBody = 1 << 16
	guard := newGuard("ops", connguard.OperatorLimits(daemon.DescriptorLimit(0)), nil, log, set)
	h := httpx.NewGuardedServer(ln, maxBody, guard)
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(200) })
	h.GET("/metrics", adaptor.HertzHandler(promhttp.HandlerFor(set.Registry, promhttp.HandlerOpts{})))
	return httpx.Serve(ctx, h)
}
