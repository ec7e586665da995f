// Package plainlog builds the processes of the project's own interface, which runs over a plain
// log service, and runs them until a signal stops them. It is apart from package daemon so that
// the processes on the users' platform do not link and initialise its HTTP library.
package plainlog

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"pumiceford/config"
	"pumiceford/connguard"
	"pumiceford/daemon"
	"pumiceford/entry"
	"pumiceford/infra"
	"pumiceford/infra/infrahttp"
	"pumiceford/intake"
	"pumiceford/ledger"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/oplog"
	"pumiceford/settings"
)

// Defaults of the shutdown settings.
const (
	defaultStopWithin    = 10 * time.Minute
	defaultBalancerDelay = 2 * time.Second
)

// Timeouts of clients of the project's own interface.
const (
	stallTimeout = 30 * time.Second // between two parts of a request
	idleTimeout  = 2 * time.Minute  // between two requests
)

// newGuard returns a guard for a listener of the project's own interface.
func newGuard(name string, limits intake.Limits, refusal func(error) []byte, log logging.Logger, ms *metrics.Set) *connguard.Guard {
	return connguard.New(connguard.Config{
		Name: name, Limits: limits, BufferBytes: connguard.HertzBufferBytes, Factor: connguard.HertzFactor,
		Timeouts: func() intake.Timeouts { return intake.Timeouts{Stall: stallTimeout, Idle: idleTimeout} },
		Refusal:  refusal, Log: log, Metrics: ms,
	})
}

// durationOr returns d, or def if d is 0.
func durationOr(d settings.Duration, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return time.Duration(d)
}

// Platform is the set of services that the platform provides, over any transport.
type Platform interface {
	infra.Log
	infra.HostList
	infra.WeightStore
}

// EntryListeners are the open listeners of an entry.
type EntryListeners struct {
	Callers, Operators, Peers net.Listener
}

func listenEntry(set *settings.Entry) (EntryListeners, error) {
	var ls EntryListeners
	var err error
	for _, l := range []struct {
		dst  *net.Listener
		addr string
	}{{&ls.Callers, set.Callers}, {&ls.Operators, set.Operators}, {&ls.Peers, set.Peers}} {
		if *l.dst, err = settings.Listen(l.addr); err != nil {
			return ls, err
		}
	}
	return ls, nil
}

// RunEntry runs pumice-entry until stop ends, then shuts it down gracefully.
func RunEntry(stop context.Context, set *settings.Entry) error {
	plat, err := infrahttp.New(set.Platform)
	if err != nil {
		return err
	}
	ls, err := listenEntry(set)
	if err != nil {
		return err
	}
	set.MemoryMB = daemon.MemoryMB(set.MemoryMB)
	daemon.LimitMemory(set.MemoryMB)
	return ServeEntry(stop, set, plat, ls)
}

// ServeEntry runs an entry on open listeners until stop ends, then shuts it down
// gracefully.
func ServeEntry(stop context.Context, set *settings.Entry, plat Platform, ls EntryListeners) error {
	tlsConf, err := set.TLS.Config()
	if err != nil {
		return err
	}
	log := set.Log.Logger()
	series := metrics.New(set.Name)
	guard := func(name string, limits intake.Limits) *connguard.Guard {
		return newGuard(name, limits, entry.Refusal, log.WithPrefix("entry"), series)
	}
	descriptors := daemon.DescriptorLimit(set.Descriptors)
	e := entry.New(entry.Config{
		Name:        set.Name,
		DataCentre:  set.DataCentre,
		Incarnation: oplog.NewIncarnation(),
		Log:         plat,
		HostList:    plat,
		Link:        link.Config{TLS: tlsConf},
		Bootstrap:   config.Operator{Name: set.Bootstrap.Name, Scope: config.ScopeFleet, KeyHash: set.Bootstrap.KeyHash},
		Ledger: ledger.Config{
			Partitions:   set.Partitions,
			CommitEvery:  time.Duration(set.CommitEvery),
			ResultsEvery: time.Duration(set.ResultsEvery),
			Retention:    time.Duration(set.Retention),
		},
		CallerGuard:   guard("callers", connguard.HertzLimits(int64(daemon.MemoryMB(set.MemoryMB))<<20, descriptors)),
		OperatorGuard: guard("operators", connguard.OperatorLimits(descriptors)),
		Logger:        log,
		Metrics:       series,
	})
	entryLog := log.WithPrefix("entry")
	if tlsConf == nil {
		entryLog.Warn("no TLS settings; peer connections are restricted to loopback")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.Run(ctx, ls.Peers) })
	g.Go(func() error { return e.ServeCallers(ctx, ls.Callers) })
	g.Go(func() error { return e.ServeOperators(ctx, ls.Operators) })
	g.Go(func() error {
		defer cancel()
		if !daemon.WaitStop(ctx, stop) {
			return nil
		}
		entryLog.Info("stopping")
		stopCtx, cancelStop := context.WithTimeout(context.Background(), durationOr(set.StopWithin, defaultStopWithin))
		defer cancelStop()
		logStopped(entryLog, e.Leave(stopCtx, durationOr(set.BalancerSees, defaultBalancerDelay)))
		return nil
	})
	entryLog.Info("entry started", logging.F("callers", ls.Callers.Addr().String()), logging.F("operators", ls.Operators.Addr().String()))
	return g.Wait()
}

// logStopped logs the end of a shutdown that cut off the given number of requests.
func logStopped(log logging.Logger, cut int) {
	if cut > 0 {
		log.Error("shutdown deadline reached; requests were cut off", logging.F("cut", cut))
		return
	}
	log.Info("stopped; no requests were cut off")
}
