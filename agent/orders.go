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

// Follow keeps the agent in step with the configuration: drains, the harm that
// its deployment tolerates, and the models that it serves.
func (a *Agent) Follow(ctx context.Context, f *config.Follower, deployment string, hosts infra.HostList, weights infra.WeightStore) {
	o := &orderer{a: a, follower: f, hosts: hosts, weights: weights, done: make(map[string]uint64), log: a.cfg.Log.Part("orders")}
	for ctx.Err() == nil {
		changed := f.Changed()
		a.takePolicy(f, deployment)
		o.reconcile(ctx)
		timer := time.NewTimer(reconcileEvery)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// reconcileEvery is how often orders are looked at without a change, so that a
// failed one is tried again.
const reconcileEvery = 2 * time.Second

func (a *Agent) takePolicy(f *config.Follower, deployment string) {
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

// orderer makes the engine serve what the configuration says. It gives no order
// before the node has read the configuration to the present: a restarted agent
// beside an engine that ignores fencing numbers is the only fence there is.
type orderer struct {
	a        *Agent
	follower *config.Follower
	hosts    infra.HostList
	weights  infra.WeightStore
	done     map[string]uint64 // model -> fence of the order that was carried out
	log      logging.Logger
}

func (o *orderer) reconcile(ctx context.Context) {
	if o.a.cfg.Engine == nil || !o.follower.Synced() {
		return
	}
	var models []config.Model
	o.follower.View(func(s *config.State) { models = s.Models() })
	for _, m := range models {
		if o.done[m.Name] >= m.Offset+1 {
			continue
		}
		if err := o.apply(ctx, m); err != nil {
			o.log.Warn("order failed", logging.F("model", m.Name), logging.F("error", err.Error()))
		}
	}
}

// apply brings one model to its version. The old one serves until the new one
// answers: the engine swaps them on the order, after the weights were fetched.
func (o *orderer) apply(ctx context.Context, m config.Model) error {
	kind := engine.OrderUnload
	if o.placedHere(ctx, m) {
		kind = engine.OrderLoad
		if err := o.fetch(ctx, m); err != nil {
			return err
		}
	}
	if o.overtaken(m) {
		return nil
	}
	err := o.a.cfg.Engine.Order(ctx, engine.Order{Kind: kind, Model: m.Name, Version: m.Version, Fence: m.Offset})
	if err != nil && !errors.Is(err, engine.ErrStaleFence) {
		return err
	}
	o.done[m.Name] = m.Offset + 1
	o.a.refreshModels(ctx)
	o.log.Info("order carried out", logging.F("kind", string(kind)), logging.F("model", m.Name), logging.F("version", m.Version), logging.F("fence", m.Offset))
	return nil
}

// fetch loads weights unless the engine was started with this model and no
// order was ever given.
func (o *orderer) fetch(ctx context.Context, m config.Model) error {
	loaded, err := o.a.cfg.Engine.Models(ctx)
	if err != nil {
		return err
	}
	if m.Previous == "" && slices.Contains(loaded, m.Name) {
		return nil
	}
	_, err = o.weights.Fetch(ctx, m.Name, m.Version)
	return err
}

// overtaken reports whether a newer record changed the model while its weights
// were being fetched. An order for the old version would then go back.
func (o *orderer) overtaken(m config.Model) bool {
	newer := false
	o.follower.View(func(s *config.State) {
		now, ok := s.Model(m.Name)
		newer = ok && now.Offset > m.Offset
	})
	return newer
}

// placedHere says whether this target serves a model: all do, or the number that
// the configuration names, chosen by rendezvous hashing over the host list.
func (o *orderer) placedHere(ctx context.Context, m config.Model) bool {
	if m.Replicas == 0 {
		return true
	}
	list, err := o.hosts.Hosts(ctx)
	if err != nil {
		// Without the list nothing moves.
		return o.done[m.Name] > 0
	}
	var agents []string
	for _, h := range list {
		if h.Role == infra.RoleAgent {
			agents = append(agents, h.Name)
		}
	}
	return slices.Contains(routing.Top(agents, routing.PrefixKey("model", m.Name), m.Replicas), o.a.cfg.Name)
}
