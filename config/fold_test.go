package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pumiceford/apierr"
	"pumiceford/infra"
	"pumiceford/oplog"
	"pumiceford/wire"
)

// oracle is a model of the configuration for tests. It holds the shares that follow
// from the confirms that it accepted itself.
type oracle struct {
	shares   map[string]float64
	changed  map[string]int // workspace -> number of the accepted confirm that changed it last
	accepted int            // number of accepted confirms
}

type oraclePlan struct {
	id          PlanID
	scope       string
	base        int
	intents     []Intent
	confirmedBy map[string]bool
	decided     bool
	accepted    bool
	content     []byte
}

// confirm applies the rules of the configuration: a plan is rejected if a workspace of
// it has changed after its base, shares never sum to more than the fleet, and no
// workspace loses share without its own confirm.
func (o *oracle) confirm(p *oraclePlan, scope string) {
	if p.decided {
		return
	}
	for _, i := range p.intents {
		if o.changed[i.Workspace] > p.base || (p.scope != ScopeFleet && p.scope != i.Workspace) {
			p.decided = true
			return
		}
	}
	p.confirmedBy[scope] = true
	next := map[string]float64{}
	for ws, s := range o.shares {
		next[ws] = s
	}
	for _, i := range p.intents {
		next[i.Workspace] = i.Share
	}
	if !p.confirmedBy[p.scope] {
		return
	}
	for ws, s := range next {
		if s < o.shares[ws] && !p.confirmedBy[ws] {
			return
		}
	}
	p.decided = true
	sum := 0.0
	for _, s := range next {
		sum += s
	}
	if sum > 1+shareTolerance {
		return
	}
	o.accepted++
	p.accepted = true
	o.shares = next
	for _, i := range p.intents {
		o.changed[i.Workspace] = o.accepted
	}
}

type configMachine struct {
	log    []infra.Record
	state  *State
	nodes  []*State // followers at different offsets
	seq    uint64
	oracle oracle
	plans  []*oraclePlan
}

var testWorkspaces = []string{"guild", "boutiques", "clerks"}

func newConfigMachine() *configMachine {
	m := &configMachine{state: NewState(Operator{}), oracle: oracle{shares: map[string]float64{}, changed: map[string]int{}}}
	for range 3 {
		m.nodes = append(m.nodes, NewState(Operator{}))
	}
	var intents []Intent
	for _, ws := range testWorkspaces {
		intents = append(intents, Intent{Kind: CreateWorkspace, Workspace: ws})
		m.oracle.shares[ws] = 0
	}
	p := m.propose(ScopeFleet, intents)
	m.confirm(p, ScopeFleet)
	p.decided = true
	m.oracle.accepted, m.oracle.changed = 0, map[string]int{}
	return m
}

func (m *configMachine) append(e *wire.Entry) {
	m.seq++
	inc := make([]byte, 16)
	data, err := proto.Marshal(&wire.Envelope{Incarnation: inc, Seq: m.seq, Entries: []*wire.Entry{e}})
	if err != nil {
		panic(err)
	}
	rec := infra.Record{Offset: uint64(len(m.log)), Data: data}
	m.log = append(m.log, rec)
	m.state.Apply(rec)
}

func (m *configMachine) propose(scope string, intents []Intent) *oraclePlan {
	raw, err := json.Marshal(intents)
	if err != nil {
		panic(err)
	}
	p := &oraclePlan{id: PlanID(oplog.NewIncarnation()), scope: scope, base: m.oracle.accepted, intents: intents, confirmedBy: map[string]bool{}, content: raw}
	m.append(&wire.Entry{Kind: &wire.Entry_Plan{Plan: &wire.ConfigPlan{Id: p.id[:], AuthorScope: scope, Author: scope, Base: m.state.Next(), Changes: raw}}})
	return p
}

func (m *configMachine) confirm(p *oraclePlan, scope string) {
	m.append(&wire.Entry{Kind: &wire.Entry_Confirm{Confirm: &wire.ConfigConfirm{Plan: p.id[:], Author: scope, AuthorScope: scope, Digest: m.state.Plan(p.id).Digest()}}})
	m.oracle.confirm(p, scope)
}

func drawScope(t *rapid.T) string {
	return rapid.SampledFrom(append([]string{ScopeFleet}, testWorkspaces...)).Draw(t, "scope")
}

// Plan proposes changes of shares.
func (m *configMachine) Plan(t *rapid.T) {
	intents := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Intent {
		return Intent{Kind: SetShare, Workspace: rapid.SampledFrom(testWorkspaces).Draw(t, "workspace"), Share: float64(rapid.IntRange(0, 10).Draw(t, "share")) / 10}
	}), 1, 2, func(i Intent) string { return i.Workspace }).Draw(t, "intents")
	m.plans = append(m.plans, m.propose(drawScope(t), intents))
}

// Confirm confirms a plan in some scope, even if the plan is already decided.
func (m *configMachine) Confirm(t *rapid.T) {
	if len(m.plans) == 0 {
		t.Skip("no plan")
	}
	m.confirm(rapid.SampledFrom(m.plans).Draw(t, "plan"), drawScope(t))
}

// ConfirmWrongDigest confirms a plan with a digest of other content, which must have no
// effect.
func (m *configMachine) ConfirmWrongDigest(t *rapid.T) {
	if len(m.plans) == 0 {
		t.Skip("no plan")
	}
	p := rapid.SampledFrom(m.plans).Draw(t, "plan")
	m.append(&wire.Entry{Kind: &wire.Entry_Confirm{Confirm: &wire.ConfigConfirm{Plan: p.id[:], AuthorScope: ScopeFleet, Digest: []byte("another")}}})
}

// Follow applies new or already applied records to a node, or restarts it from a
// snapshot. The node must never go back to an earlier offset.
func (m *configMachine) Follow(t *rapid.T) {
	n := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")
	node := m.nodes[n]
	before := node.Next()
	switch rapid.IntRange(0, 2).Draw(t, "how") {
	case 0:
		from := rapid.IntRange(0, int(before)).Draw(t, "from")
		to := rapid.IntRange(from, len(m.log)).Draw(t, "to")
		for _, rec := range m.log[from:to] {
			if rec.Offset <= node.Next() {
				node.Apply(rec)
			}
		}
	case 1:
		data, err := m.state.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if m.nodes[n], err = Restore(data); err != nil {
			t.Fatal(err)
		}
	}
	if m.nodes[n].Next() < before {
		t.Fatalf("node %d went back from offset %d to %d", n, before, m.nodes[n].Next())
	}
}

// Check compares the fold, and each node that has caught up, with the oracle.
func (m *configMachine) Check(t *rapid.T) {
	m.compare(t, m.state)
	for n, node := range m.nodes {
		if node.Next() == m.state.Next() {
			m.compare(t, m.nodes[n])
		}
	}
}

func (m *configMachine) compare(t *rapid.T, s *State) {
	for ws, want := range m.oracle.shares {
		if got, _ := s.Workspace(ws); got.Share != want {
			t.Fatalf("share of %s is %v, want %v", ws, got.Share, want)
		}
	}
	for _, p := range m.plans {
		got := s.Plan(p.id)
		want := Proposed
		switch {
		case p.accepted:
			want = Accepted
		case p.decided:
			want = Rejected
		}
		if got.Status != want {
			t.Fatalf("plan %s by %s is %s (%s), want %s", p.content, p.scope, got.Status, got.Reason, want)
		}
		if string(got.raw) != string(p.content) {
			t.Fatalf("content of a plan changed to %s in the fold", got.raw)
		}
	}
}

// Guards against a change that silently overrides a concurrent one, shares that sum to
// more than the fleet, a workspace that loses share without its confirm, and a node
// whose configuration goes back. These come about when anything but the fold decides on
// confirms: operators race, confirms are repeated or carry another content, and nodes
// read duplicate records or restart from snapshots.
func TestFoldMatchesOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newConfigMachine()
		rt.Repeat(map[string]func(*rapid.T){
			"plan": m.Plan, "confirm": m.Confirm, "confirm more": m.Confirm, "wrong digest": m.ConfirmWrongDigest, "follow": m.Follow, "": m.Check,
		})
	})
}

func FuzzDecodeIntents(f *testing.F) {
	for _, s := range []string{``, `[]`, `[{"kind":"drain","host":"h"}]`, `[{"kind":"set_share","workspace":"w","share":2}]`, `[{"kind":"none"}]`, `[{"extra":1}]`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		intents, err := DecodeIntents(data)
		var fail *apierr.Error
		if err != nil && !errors.As(err, &fail) {
			t.Fatalf("error is not an *apierr.Error: %v", err)
		}
		for _, i := range intents {
			if i.Aggregate() == "" || fmt.Sprint(i) == "" {
				t.Fatalf("decoded intent has no aggregate or no text: %+v", i)
			}
		}
	})
}
