// Package daemon builds the processes from their settings and runs them until a
// signal stops them. The commands' main files only call it.
package daemon

import (
	"context"
	"net"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"pumiceford/config"
	"pumiceford/entry"
	"pumiceford/infra"
	"pumiceford/infra/infrahttp"
	"pumiceford/ledger"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/oplog"
	"pumiceford/settings"
)

// Defaults of settings that concern stopping.
const (
	defaultStopWithin   = 10 * time.Minute
	defaultBalancerSees = 2 * time.Second
)

func orElse(d settings.Duration, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return time.Duration(d)
}

// Signals returns a context that ends at the first SIGTERM or SIGINT.
func Signals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Platform is what the platform gives, over whichever transport.
type Platform interface {
	infra.Log
	infra.HostList
	infra.WeightStore
}

// EntryListeners are the open ports of an entry.
type EntryListeners struct {
	Callers, Operators, Peers net.Listener
}

func listenEntry(set *settings.Entry) (EntryListeners, error) {
	var l EntryListeners
	var err error
	for _, at := range []struct {
		into *net.Listener
		addr string
	}{{&l.Callers, set.Callers}, {&l.Operators, set.Operators}, {&l.Peers, set.Peers}} {
		if *at.into, err = settings.Listen(at.addr); err != nil {
			return l, err
		}
	}
	return l, nil
}

// RunEntry runs pumice-entry until stop ends, then stops it gracefully.
func RunEntry(stop context.Context, set *settings.Entry) error {
	plat, err := infrahttp.New(set.Platform)
	if err != nil {
		return err
	}
	ls, err := listenEntry(set)
	if err != nil {
		return err
	}
	return ServeEntry(stop, set, plat, ls)
}

// ServeEntry runs an entry on open listeners.
func ServeEntry(stop context.Context, set *settings.Entry, plat Platform, ls EntryListeners) error {
	tlsConf, err := set.TLS.Config()
	if err != nil {
		return err
	}
	log := set.Log.Logger()
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
		Logger:  log,
		Metrics: metrics.New(set.Name),
	})
	main := log.Part("entry")
	if tlsConf == nil {
		main.Warn("no tls settings; peers on loopback only")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.Run(ctx, ls.Peers) })
	g.Go(func() error { return e.ServeCallers(ctx, ls.Callers) })
	g.Go(func() error { return e.ServeOperators(ctx, ls.Operators) })
	g.Go(func() error {
		defer cancel()
		if !waitStop(ctx, stop) {
			return nil
		}
		main.Info("stopping")
		bound, done := context.WithTimeout(context.Background(), orElse(set.StopWithin, defaultStopWithin))
		defer done()
		report(main, e.Leave(bound, orElse(set.BalancerSees, defaultBalancerSees)))
		return nil
	})
	main.Info("entry started", logging.F("callers", ls.Callers.Addr().String()), logging.F("operators", ls.Operators.Addr().String()))
	return g.Wait()
}

// waitStop waits for a stop. It reports false when ctx ended first.
func waitStop(ctx, stop context.Context) bool {
	select {
	case <-stop.Done():
		return true
	case <-ctx.Done():
		return false
	}
}

func report(log logging.Logger, cut int) {
	if cut > 0 {
		log.Error("stopped by the bound; requests were cut off", logging.F("cut", cut))
		return
	}
	log.Info("stopped; nothing was cut off")
}
