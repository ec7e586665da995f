// Package dev runs entries, agents and simulated external systems in one process on
// loopback, to try pumiceford out and to check a source tree.
package dev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"pumiceford/agent"
	"pumiceford/apierr"
	"pumiceford/client"
	"pumiceford/config"
	"pumiceford/daemon/plainlog"
	"pumiceford/entry"
	"pumiceford/infra"
	"pumiceford/internal/defaults"
	"pumiceford/internal/wait"
	"pumiceford/settings"
	"pumiceford/standin"
)

// Keys, workspace and model of the development fleet.
const (
	OperatorKey  = "dev-operator-key"
	WorkspaceKey = "dev-workspace-key"
	Workspace    = "guild"
	Model        = "renewal-7b"
)

// Options configure a Fleet. Zero values select defaults.
type Options struct {
	Entries    int
	Agents     int
	Partitions uint32
	Seats      int
	StepTime   time.Duration
	LogLevel   string
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.Entries, 2)
	defaults.Set(&o.Agents, 4)
	defaults.Set(&o.Partitions, 8)
	defaults.Set(&o.Seats, 16)
	defaults.Set(&o.StepTime, 2*time.Millisecond)
	defaults.Set(&o.LogLevel, "error")
	return o
}

// Platform combines the simulated services of the platform.
type Platform struct {
	*standin.Log
	*standin.HostList
	*standin.Weights
}

// Fleet is a running development fleet.
type Fleet struct {
	CallerURLs   []string // base URLs for callers, one for each entry
	OperatorURLs []string // base URLs for operators, one for each entry
	Platform     Platform
	Engines      []*standin.Engine
	Service      *standin.Service

	stop  context.CancelFunc
	group *errgroup.Group
}

// Start starts a fleet, which runs until Stop.
func Start(opts Options) (*Fleet, error) {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{stop: cancel, group: &errgroup.Group{}, Service: &standin.Service{}}
	f.Platform = Platform{
		Log:      standin.NewLog(standin.LogSettings{}),
		HostList: standin.NewHostList(0),
		Weights:  &standin.Weights{BytesPerSecond: 1 << 30, ModelBytes: 100 << 20},
	}
	for n := range opts.Agents {
		if err := f.startAgent(ctx, opts, n); err != nil {
			cancel()
			return nil, err
		}
	}
	for n := range opts.Entries {
		if err := f.startEntry(ctx, opts, n); err != nil {
			cancel()
			return nil, err
		}
	}
	return f, nil
}

func listenLoopback() (net.Listener, error) {
	return settings.Listen("127.0.0.1:0")
}

var dataCentres = []string{"kakkanad-a", "kakkanad-b"}

func (f *Fleet) startAgent(ctx context.Context, opts Options, n int) error {
	peers, err := listenLoopback()
	if err != nil {
		return err
	}
	ops, err := listenLoopback()
	if err != nil {
		return err
	}
	eng := standin.NewEngine(ctx, standin.EngineSettings{Models: []string{Model}, StepBase: opts.StepTime, MaxRunning: opts.Seats})
	f.Engines = append(f.Engines, eng)
	set := &settings.Agent{
		Name:       "agent-" + strconv.Itoa(n),
		DataCentre: dataCentres[n%len(dataCentres)],
		Deployment: "dev",
		Seats:      opts.Seats,
		Log:        settings.Log{Level: opts.LogLevel},
	}
	f.Platform.Put(infra.Host{Name: set.Name, Role: infra.RoleAgent, Addr: peers.Addr().String(), DataCentre: set.DataCentre})
	services := map[string]agent.Service{"stamps": f.Service}
	f.group.Go(func() error {
		return plainlog.ServeAgent(ctx, set, f.Platform, eng, services, peers, ops)
	})
	return nil
}

func (f *Fleet) startEntry(ctx context.Context, opts Options, n int) error {
	var ls plainlog.EntryListeners
	for _, into := range []*net.Listener{&ls.Callers, &ls.Operators, &ls.Peers} {
		ln, err := listenLoopback()
		if err != nil {
			return err
		}
		*into = ln
	}
	set := &settings.Entry{
		Name:         "entry-" + strconv.Itoa(n),
		DataCentre:   dataCentres[n%len(dataCentres)],
		Partitions:   opts.Partitions,
		Bootstrap:    settings.Operator{Name: "dev", KeyHash: entry.HashKey(OperatorKey)},
		BalancerSees: settings.Duration(time.Millisecond),
		Log:          settings.Log{Level: opts.LogLevel},
	}
	f.Platform.Put(infra.Host{Name: set.Name, Role: infra.RoleEntry, Addr: ls.Peers.Addr().String(), DataCentre: set.DataCentre})
	f.CallerURLs = append(f.CallerURLs, "http://"+ls.Callers.Addr().String())
	f.OperatorURLs = append(f.OperatorURLs, "http://"+ls.Operators.Addr().String())
	f.group.Go(func() error { return plainlog.ServeEntry(ctx, set, f.Platform, ls) })
	return nil
}

// Stop stops the fleet gracefully and returns the first error of its processes.
func (f *Fleet) Stop() error {
	f.stop()
	return f.group.Wait()
}

// Setup confirms the development configuration: one model and one workspace with a key
// and a share.
func (f *Fleet) Setup(ctx context.Context) error {
	ops, err := client.New(f.OperatorURLs[0], OperatorKey)
	if err != nil {
		return err
	}
	intents := []config.Intent{
		{Kind: config.SetModel, Model: Model, Version: "v1"},
		{Kind: config.CreateWorkspace, Workspace: Workspace},
		{Kind: config.SetShare, Workspace: Workspace, Share: 0.5},
		{Kind: config.AddKey, Workspace: Workspace, KeyHash: entry.HashKey(WorkspaceKey)},
	}
	_, err = PlanAndConfirm(ctx, ops, "development fleet", intents)
	return err
}

// PlanAndConfirm proposes a plan for intents, confirms it and waits until it is in
// force or some of its confirmations are missing.
func PlanAndConfirm(ctx context.Context, ops *client.Client, why string, intents []config.Intent) (entry.PlanReply, error) {
	var proposed, plan entry.PlanReply
	if err := retry(ctx, func() error {
		return ops.JSON(ctx, http.MethodPost, "/plans", entry.ProposeBody{Why: why, Intents: intents}, &proposed)
	}); err != nil {
		return proposed, err
	}
	if err := ops.JSON(ctx, http.MethodPost, "/plans/"+proposed.ID+"/confirm", entry.ConfirmBody{Digest: proposed.Digest}, &plan); err != nil {
		return proposed, err
	}
	for !plan.InForce && len(plan.MissingConfirms) == 0 {
		if err := wait.For(ctx, 50*time.Millisecond); err != nil {
			return plan, apierr.Executed(apierr.CodeDeadlineExceeded, "plan confirmed but not in force on %v", plan.Laggards)
		}
		plan = entry.PlanReply{}
		if err := ops.JSON(ctx, http.MethodGet, "/plans/"+proposed.ID, nil, &plan); err != nil {
			return plan, err
		}
	}
	return plan, nil
}

// retry repeats a call while it fails with an error that is expected while a fleet
// starts.
func retry(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil {
			return nil
		}
		code := apierr.From(err).Code
		starting := code == apierr.CodeNotRun || code == apierr.CodeNoTarget || code == apierr.CodeLogUnavailable || code == apierr.CodeUnauthorized || code == apierr.CodeOutcomeUnknown
		if !starting || wait.For(ctx, 50*time.Millisecond) != nil {
			return err
		}
	}
}

// Hints returns the fleet's addresses and keys with commands to try.
func (f *Fleet) Hints() string {
	return fmt.Sprintf(`callers    %s  %s
operators  %s  %s
key of workspace %q: %s
operator key: %s

try:
  go run ./cmd/pumice chat --url %s --key %s "Is my instrument rating current?"
  curl -s %s/v1/models -H "Authorization: Bearer %s"
  go run ./cmd/pumice status --url %s --key %s
`,
		f.CallerURLs[0], f.CallerURLs[len(f.CallerURLs)-1], f.OperatorURLs[0], f.OperatorURLs[len(f.OperatorURLs)-1],
		Workspace, WorkspaceKey, OperatorKey,
		f.CallerURLs[0], WorkspaceKey, f.CallerURLs[0], WorkspaceKey, f.OperatorURLs[0], OperatorKey)
}
