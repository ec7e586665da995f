package agent

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/config"
	"pumiceford/engine"
	"pumiceford/infra"
	"pumiceford/logging"
	"pumiceford/routing"
)

// FollowConfig applies the configuration until ctx ends: drains, the deployment's harm (how
// much longer batch may make an online step) and the models to serve.
func (a *Agent) FollowConfig(ctx context.Context, f *config.Follower, deployment string, hosts infra.HostList, weights infra.WeightStore) {
	r := &orderReconciler{agent: a, follower: f, hosts: hosts, weights: weights, applied: make(map[string]uint64), log: a.cfg.Log.WithPrefix("orders")}
	for ctx.Err() == nil {
		changed := f.Changed()
		a.applyPolicy(f, deployment)
		r.reconcile(ctx)
		timer := time.NewTimer(reconcileInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// reconcileInterval is the interval of reconciling without a change of configuration,
// so that failed orders are retried.
const reconcileInterval = 2 * time.Second

func (a *Agent) applyPolicy(f *config.Follower, deployment string) {
	if !f.Synced() {
		return
	}
	var drained bool
	harm, ok := 0.0, false
	f.View(func(s *config.State) {
		drained = s.Host(a.cfg.Name).Drained
		harm, ok = s.Harm(deployment)
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drained = drained
	if ok {
		a.adm.SetHarm(harm)
	}
}

// orderReconciler makes the engine serve the models of the configuration. It sends no
// order before the follower is synced: for an engine that does not check fences, the
// agent is the only fence, and a restarted agent could otherwise send an old order.
type orderReconciler struct {
	agent    *Agent
	follower *config.Follower
	hosts    infra.HostList
	weights  infra.WeightStore
	applied  map[string]uint64 // model -> fence of the last applied order, plus 1
	log      logging.Logger
}

func (r *orderReconciler) reconcile(ctx context.Context) {
	if r.agent.cfg.Engine == nil || !r.follower.Synced() {
		return
	}
	var models []config.Model
	r.follower.View(func(s *config.State) { models = s.Models() })
	for _, m := range models {
		if r.applied[m.Name] >= m.Offset+1 {
			continue
		}
		if err := r.apply(ctx, m); err != nil {
			r.log.Warn("engine order failed", logging.F("model", m.Name), logging.F("error", err.Error()))
		}
	}
}

// apply loads or unloads one model. The weights are fetched before the order, and the
// engine serves the old version until it has swapped in the new one.
func (r *orderReconciler) apply(ctx context.Context, m config.Model) error {
	kind := engine.OrderUnload
	if r.placedHere(ctx, m) {
		kind = engine.OrderLoad
		if err := r.fetch(ctx, m); err != nil {
			return err
		}
	}
	if r.superseded(m) {
		return nil
	}
	err := r.agent.cfg.Engine.Order(ctx, engine.Order{Kind: kind, Model: m.Name, Version: m.Version, Fence: m.Offset})
	if err != nil && !errors.Is(err, engine.ErrStaleFence) {
		return err
	}
	r.applied[m.Name] = m.Offset + 1
	r.agent.refreshModels(ctx)
	r.log.Info("engine order applied", logging.F("kind", string(kind)), logging.F("model", m.Name), logging.F("version", m.Version), logging.F("fence", m.Offset))
	return nil
}

// fetch downloads the weights of a model. It does nothing for the first version of a
// model that the engine has already loaded, because the engine was started with it.
func (r *orderReconciler) fetch(ctx context.Context, m config.Model) error {
	loaded, err := r.agent.cfg.Engine.Models(ctx)
	if err != nil {
		return err
	}
	if m.Previous == "" && slices.Contains(loaded, m.Name) {
		return nil
	}
	_, err = r.weights.Fetch(ctx, m.Name, m.Version)
	return err
}

// superseded reports whether a newer record changed the model while its weights were
// being fetched. An order for the old version would then revert the change.
func (r *orderReconciler) superseded(m config.Model) bool {
	newer := false
	r.follower.View(func(s *config.State) {
		now, ok := s.Model(m.Name)
		newer = ok && now.Offset > m.Offset
	})
	return newer
}

// placedHere reports whether this target serves a model. Without a number of replicas
// all targets serve it; otherwise rendezvous hashing over the host list selects them.
func (r *orderReconciler) placedHere(ctx context.Context, m config.Model) bool {
	if m.Replicas == 0 {
		return true
	}
	list, err := r.hosts.Hosts(ctx)
	if err != nil {
		// Without the host list the placement stays: only models that have had an
		// order here count as placed.
		return r.applied[m.Name] > 0
	}
	var agents []string
	for _, h := range list {
		if h.Role == infra.RoleAgent {
			agents = append(agents, h.Name)
		}
	}
	return slices.Contains(routing.Top(agents, routing.PrefixKey("model", m.Name), m.Replicas), r.agent.cfg.Name)
}
