package config

import (
	"maps"
	"slices"
	"sort"

	"pumiceford/apierr"
)

// Workspace is one tenant of the fleet.
type Workspace struct {
	Name     string            `json:"name"`
	Share    float64           `json:"share"`
	Limit    float64           `json:"limit"`
	Keys     []string          `json:"keys"` // hex SHA-256 of bearer keys
	Adapters map[string]string `json:"adapters,omitempty"`
}

// Model is one model and the version in force.
type Model struct {
	Name     string `json:"name"`
	Version  string `json:"version"`
	Replicas int    `json:"replicas"`
	Previous string `json:"previous,omitempty"`
	Offset   uint64 `json:"offset"` // fencing number of orders for it
}

// Host is what operators said of a host.
type Host struct {
	Name    string `json:"name"`
	Drained bool   `json:"drained"`
	Role    string `json:"role,omitempty"`
	Offset  uint64 `json:"offset"`
}

// Operator may state intents within a scope.
type Operator struct {
	Name    string `json:"name"`
	Scope   string `json:"scope"`
	KeyHash string `json:"key_hash"`
}

// Change names who changed an aggregate last.
type Change struct {
	Offset uint64 `json:"offset"`
	Author string `json:"author"`
}

// tables is everything that intents change.
type tables struct {
	Workspaces map[string]Workspace `json:"workspaces"`
	Models     map[string]Model     `json:"models"`
	Hosts      map[string]Host      `json:"hosts"`
	Harm       map[string]float64   `json:"harm"` // deployment -> tolerated harm
	Operators  map[string]Operator  `json:"operators"`
}

func newTables() tables {
	return tables{
		Workspaces: make(map[string]Workspace),
		Models:     make(map[string]Model),
		Hosts:      make(map[string]Host),
		Harm:       make(map[string]float64),
		Operators:  make(map[string]Operator),
	}
}

// shareSlack absorbs rounding in sums of shares.
const shareSlack = 1e-9

func (t *tables) shareSum() float64 {
	names := slices.Sorted(maps.Keys(t.Workspaces))
	sum := 0.0
	for _, name := range names {
		// Summed in one order, so that every node rounds alike.
		sum += t.Workspaces[name].Share
	}
	return sum
}

func restore[V any](m map[string]V, key string) func() {
	old, had := m[key]
	return func() {
		if had {
			m[key] = old
			return
		}
		delete(m, key)
	}
}

// apply changes the tables by one intent and returns how to take it back.
func (t *tables) apply(i Intent, offset uint64) (func(), error) {
	switch i.Kind {
	case CreateWorkspace:
		if _, ok := t.Workspaces[i.Workspace]; ok {
			return nil, apierr.New(apierr.CodePlanConflict, "workspace %s exists", i.Workspace)
		}
		back := restore(t.Workspaces, i.Workspace)
		t.Workspaces[i.Workspace] = Workspace{Name: i.Workspace}
		return back, nil
	case SetShare, SetLimit, AddKey, RevokeKey, SetAdapter:
		return t.applyWorkspace(i)
	case SetModel:
		back := restore(t.Models, i.Model)
		old := t.Models[i.Model]
		t.Models[i.Model] = Model{Name: i.Model, Version: i.Version, Replicas: i.Replicas, Previous: old.Version, Offset: offset}
		return back, nil
	case Drain, Undrain, SetRole:
		return t.applyHost(i, offset), nil
	case SetPolicy:
		back := restore(t.Harm, i.Deployment)
		t.Harm[i.Deployment] = i.Harm
		return back, nil
	case AddOperator:
		back := restore(t.Operators, i.Operator)
		t.Operators[i.Operator] = Operator{Name: i.Operator, Scope: i.Scope, KeyHash: i.KeyHash}
		return back, nil
	case RevokeOperator:
		if _, ok := t.Operators[i.Operator]; !ok {
			return nil, apierr.New(apierr.CodePlanConflict, "no operator %s", i.Operator)
		}
		back := restore(t.Operators, i.Operator)
		delete(t.Operators, i.Operator)
		return back, nil
	}
	return nil, apierr.New(apierr.CodeBadRequest, "unknown kind of intent")
}

func (t *tables) applyWorkspace(i Intent) (func(), error) {
	ws, ok := t.Workspaces[i.Workspace]
	if !ok {
		return nil, apierr.New(apierr.CodePlanConflict, "no workspace %s", i.Workspace)
	}
	back := restore(t.Workspaces, i.Workspace)
	switch i.Kind {
	case SetShare:
		ws.Share = i.Share
	case SetLimit:
		ws.Limit = i.Limit
	case AddKey:
		if !slices.Contains(ws.Keys, i.KeyHash) {
			ws.Keys = append(slices.Clone(ws.Keys), i.KeyHash)
		}
	case RevokeKey:
		ws.Keys = slices.DeleteFunc(slices.Clone(ws.Keys), func(k string) bool { return k == i.KeyHash })
	case SetAdapter:
		ws.Adapters = maps.Clone(ws.Adapters)
		if ws.Adapters == nil {
			ws.Adapters = make(map[string]string)
		}
		ws.Adapters[i.Model] = i.Adapter
	}
	t.Workspaces[i.Workspace] = ws
	return back, nil
}

func (t *tables) applyHost(i Intent, offset uint64) func() {
	back := restore(t.Hosts, i.Host)
	h := t.Hosts[i.Host]
	h.Name = i.Host
	h.Offset = offset
	switch i.Kind {
	case Drain:
		h.Drained = true
	case Undrain:
		h.Drained = false
	case SetRole:
		h.Role = i.Role
	}
	t.Hosts[i.Host] = h
	return back
}

// applyAll applies intents in order, all or none. It keeps the sum of shares
// within the fleet, but for workspaces that were there before and only shrink.
func (t *tables) applyAll(intents []Intent, offset uint64) error {
	var backs []func()
	rollBack := func() {
		for n := len(backs) - 1; n >= 0; n-- {
			backs[n]()
		}
	}
	shares := false
	for _, i := range intents {
		back, err := t.apply(i, offset)
		if err != nil {
			rollBack()
			return err
		}
		shares = shares || i.Kind == SetShare
		backs = append(backs, back)
	}
	if shares && t.shareSum() > 1+shareSlack {
		sum := t.shareSum()
		rollBack()
		return apierr.New(apierr.CodePlanConflict, "shares would add up to %.1f%% of the fleet", 100*sum)
	}
	return nil
}

// losers names the workspaces whose share the intents would lower.
func (t *tables) losers(intents []Intent) []string {
	final := make(map[string]float64)
	for _, i := range intents {
		if i.Kind == SetShare {
			final[i.Workspace] = i.Share
		}
	}
	var out []string
	for name, share := range final {
		if ws, ok := t.Workspaces[name]; ok && share < ws.Share {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}
