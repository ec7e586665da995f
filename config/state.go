package config

import (
	"maps"
	"slices"
	"sort"

	"pumiceford/apierr"
)

// Workspace is a tenant of the fleet. Share and Limit have the units of Intent.
type Workspace struct {
	Name     string            `json:"name"`
	Share    float64           `json:"share"`
	Limit    float64           `json:"limit"`
	Keys     []string          `json:"keys"` // hex SHA-256 of bearer keys
	Adapters map[string]string `json:"adapters,omitempty"`
}

// Model is a model with the version in force.
type Model struct {
	Name     string `json:"name"`
	Version  string `json:"version"`
	Replicas int    `json:"replicas"` // targets that serve the model, 0 means all
	Previous string `json:"previous,omitempty"`
	Offset   uint64 `json:"offset"` // of the last change; the fence of engine orders
}

// Host holds the operators' settings of a host.
type Host struct {
	Name    string `json:"name"`
	Drained bool   `json:"drained"`
	Role    string `json:"role,omitempty"`
	Offset  uint64 `json:"offset"`
}

// Operator is a person or tool that may state intents within a scope.
type Operator struct {
	Name    string `json:"name"`
	Scope   string `json:"scope"`
	KeyHash string `json:"key_hash"`
}

// Change records the last change of an aggregate.
type Change struct {
	Offset uint64 `json:"offset"`
	Author string `json:"author"`
}

// tables holds all aggregates that intents change, by name.
type tables struct {
	Workspaces map[string]Workspace `json:"workspaces"`
	Models     map[string]Model     `json:"models"`
	Hosts      map[string]Host      `json:"hosts"`
	Harm       map[string]float64   `json:"harm"` // by deployment, as in Intent
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

// shareTolerance allows for rounding errors in sums of shares.
const shareTolerance = 1e-9

func (t *tables) shareSum() float64 {
	names := slices.Sorted(maps.Keys(t.Workspaces))
	sum := 0.0
	for _, name := range names {
		// A fixed order gives the same rounding on every node.
		sum += t.Workspaces[name].Share
	}
	return sum
}

// undoFor returns a function that restores the present value of a key.
func undoFor[V any](m map[string]V, key string) func() {
	old, ok := m[key]
	return func() {
		if ok {
			m[key] = old
			return
		}
		delete(m, key)
	}
}

// apply applies one intent and returns a function that undoes it.
func (t *tables) apply(i Intent, offset uint64) (func(), error) {
	switch i.Kind {
	case CreateWorkspace:
		if _, ok := t.Workspaces[i.Workspace]; ok {
			return nil, apierr.New(apierr.CodePlanConflict, "workspace %s exists", i.Workspace)
		}
		undo := undoFor(t.Workspaces, i.Workspace)
		t.Workspaces[i.Workspace] = Workspace{Name: i.Workspace}
		return undo, nil
	case SetShare, SetLimit, AddKey, RevokeKey, SetAdapter:
		return t.applyWorkspace(i)
	case SetModel:
		undo := undoFor(t.Models, i.Model)
		old := t.Models[i.Model]
		t.Models[i.Model] = Model{Name: i.Model, Version: i.Version, Replicas: i.Replicas, Previous: old.Version, Offset: offset}
		return undo, nil
	case Drain, Undrain, SetRole:
		return t.applyHost(i, offset), nil
	case SetPolicy:
		undo := undoFor(t.Harm, i.Deployment)
		t.Harm[i.Deployment] = i.Harm
		return undo, nil
	case AddOperator:
		undo := undoFor(t.Operators, i.Operator)
		t.Operators[i.Operator] = Operator{Name: i.Operator, Scope: i.Scope, KeyHash: i.KeyHash}
		return undo, nil
	case RevokeOperator:
		if _, ok := t.Operators[i.Operator]; !ok {
			return nil, apierr.New(apierr.CodePlanConflict, "no operator %s", i.Operator)
		}
		undo := undoFor(t.Operators, i.Operator)
		delete(t.Operators, i.Operator)
		return undo, nil
	}
	return nil, apierr.New(apierr.CodeBadRequest, "unknown kind of intent")
}

func (t *tables) applyWorkspace(i Intent) (func(), error) {
	ws, ok := t.Workspaces[i.Workspace]
	if !ok {
		return nil, apierr.New(apierr.CodePlanConflict, "no workspace %s", i.Workspace)
	}
	undo := undoFor(t.Workspaces, i.Workspace)
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
	return undo, nil
}

func (t *tables) applyHost(i Intent, offset uint64) func() {
	undo := undoFor(t.Hosts, i.Host)
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
	return undo
}

// applyAll applies intents in order, all or none. It refuses a change of shares after
// which they sum to more than the fleet.
func (t *tables) applyAll(intents []Intent, offset uint64) error {
	var undos []func()
	rollBack := func() {
		for n := len(undos) - 1; n >= 0; n-- {
			undos[n]()
		}
	}
	sharesChanged := false
	for _, i := range intents {
		undo, err := t.apply(i, offset)
		if err != nil {
			rollBack()
			return err
		}
		sharesChanged = sharesChanged || i.Kind == SetShare
		undos = append(undos, undo)
	}
	if sharesChanged && t.shareSum() > 1+shareTolerance {
		sum := t.shareSum()
		rollBack()
		return apierr.New(apierr.CodePlanConflict, "shares would add up to %.1f%% of the fleet", 100*sum)
	}
	return nil
}

// workspacesLosingShare returns the names of the workspaces whose share the intents
// would lower, sorted.
func (t *tables) workspacesLosingShare(intents []Intent) []string {
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
