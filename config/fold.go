package config

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceford/apierr"
	"pumiceford/infra"
	"pumiceford/oplog"
	"pumiceford/wire"
)

// StreamName is the log stream of the configuration.
const StreamName = "config"

// PlanID identifies a plan.
type PlanID [16]byte

// String returns the hexadecimal form.
func (id PlanID) String() string {
	return hex.EncodeToString(id[:])
}

// ParsePlanID parses the hexadecimal form.
func ParsePlanID(s string) (PlanID, error) {
	var id PlanID
	data, err := hex.DecodeString(s)
	if err != nil || len(data) != len(id) {
		return id, apierr.New(apierr.CodeBadRequest, "a plan id has %d hexadecimal digits", 2*len(id))
	}
	copy(id[:], data)
	return id, nil
}

// Status is the status of a plan.
type Status string

// The statuses of a plan.
const (
	Proposed Status = "proposed"
	Accepted Status = "accepted"
	Rejected Status = "rejected" // an aggregate changed after its base, or a rule forbids it
)

// Plan is a proposed change and its status in the fold.
type Plan struct {
	ID        PlanID
	Author    string
	Scope     string
	Base      uint64 // config offset on which the plan is based
	Intents   []Intent
	Why       string
	Time      time.Time
	Offset    uint64 // of the plan's record
	Status    Status
	Decided   uint64   // offset of the record that accepted or rejected it
	Reason    string   // why it was rejected
	Confirmed []string // scopes that confirmed it
	raw       []byte
}

// Digest returns a hash of the ID and the content, which ties a confirm to the content
// that its operator saw.
func (p *Plan) Digest() []byte {
	h := xxhash.New()
	// Write never fails for a hash.
	_, _ = h.Write(p.ID[:])
	_, _ = h.Write(p.raw)
	return h.Sum(nil)
}

// State is the fold of the config stream. It is not safe for concurrent use.
type State struct {
	next           uint64
	dedupe         *oplog.Dedupe
	tables         tables
	plans          map[PlanID]*Plan
	planOrder      []PlanID          // by offset, oldest first
	lastChanges    map[string]Change // by aggregate key
	workspaceByKey map[string]string // key hash -> workspace
}

// maxPlans bounds the number of plans kept, including decided ones.
const maxPlans = 2000

// NewState returns an empty configuration. bootstrap is the operator that exists before
// any record.
func NewState(bootstrap Operator) *State {
	s := &State{
		dedupe:         oplog.NewDedupe(),
		tables:         newTables(),
		plans:          make(map[PlanID]*Plan),
		lastChanges:    make(map[string]Change),
		workspaceByKey: make(map[string]string),
	}
	if bootstrap.Name != "" {
		s.tables.Operators[bootstrap.Name] = bootstrap
	}
	return s
}

// Next returns the offset of the first record not yet applied.
func (s *State) Next() uint64 { return s.next }

// Apply folds one record. It ignores records below Next, so that a state never goes
// back to an earlier offset.
func (s *State) Apply(rec infra.Record) {
	if rec.Offset < s.next {
		return
	}
	s.next = rec.Offset + 1
	env, inc, ok := oplog.Decode(rec.Data)
	if !ok || !s.dedupe.Accept(inc, env.GetSeq(), rec.Offset) {
		return
	}
	for _, e := range env.GetEntries() {
		switch k := e.GetKind().(type) {
		case *wire.Entry_Plan:
			s.applyPlan(rec, k.Plan)
		case *wire.Entry_Confirm:
			s.applyConfirm(rec.Offset, k.Confirm)
		}
	}
}

func planIDFrom(b []byte) (PlanID, bool) {
	var id PlanID
	if len(b) != len(id) {
		return id, false
	}
	copy(id[:], b)
	return id, true
}

func (s *State) applyPlan(rec infra.Record, p *wire.ConfigPlan) {
	id, ok := planIDFrom(p.GetId())
	if !ok || s.plans[id] != nil {
		return
	}
	intents, err := DecodeIntents(p.GetChanges())
	if err != nil {
		return
	}
	s.plans[id] = &Plan{
		ID:      id,
		Author:  p.GetAuthor(),
		Scope:   p.GetAuthorScope(),
		Base:    p.GetBase(),
		Intents: intents,
		Why:     p.GetWhy(),
		Time:    time.UnixMilli(p.GetTimeUnixMs()),
		Offset:  rec.Offset,
		Status:  Proposed,
		raw:     p.GetChanges(),
	}
	s.planOrder = append(s.planOrder, id)
	if len(s.planOrder) > maxPlans {
		delete(s.plans, s.planOrder[0])
		s.planOrder = s.planOrder[1:]
	}
}

// applyConfirm adds a confirm and accepts or rejects the plan. It rejects the plan if
// an aggregate of it has changed since its base, so that the second of two concurrent
// operators gets a conflict instead of silently overriding the first.
func (s *State) applyConfirm(offset uint64, c *wire.ConfigConfirm) {
	id, _ := planIDFrom(c.GetPlan())
	p := s.plans[id]
	if p == nil || p.Status != Proposed || !bytes.Equal(c.GetDigest(), p.Digest()) {
		return
	}
	if err := s.checkPlan(p); err != nil {
		s.reject(p, offset, err)
		return
	}
	scope := c.GetAuthorScope()
	if !slices.Contains(p.Confirmed, scope) {
		p.Confirmed = append(p.Confirmed, scope)
	}
	if len(s.missingConfirms(p)) > 0 {
		return
	}
	if err := s.tables.applyAll(p.Intents, offset); err != nil {
		s.reject(p, offset, err)
		return
	}
	p.Status = Accepted
	p.Decided = offset
	for _, key := range touchedAggregates(p.Intents) {
		s.lastChanges[key] = Change{Offset: offset, Author: p.Author}
	}
	s.indexKeys(p.Intents)
}

func (s *State) reject(p *Plan, offset uint64, err error) {
	p.Status = Rejected
	p.Decided = offset
	p.Reason = apierr.From(err).Message
}

// checkPlan returns why a plan conflicts with the present state, nil if it does not.
func (s *State) checkPlan(p *Plan) error {
	for _, key := range touchedAggregates(p.Intents) {
		if c, ok := s.lastChanges[key]; ok && c.Offset >= p.Base {
			return apierr.New(apierr.CodePlanConflict, "%s was changed by %s at offset %d, after the plan was made", key, c.Author, c.Offset)
		}
	}
	for _, i := range p.Intents {
		if owner, ok := s.workspaceByKey[i.KeyHash]; i.Kind == AddKey && ok && owner != i.Workspace {
			return apierr.New(apierr.CodePlanConflict, "the key belongs to another workspace")
		}
	}
	return Authorize(p.Scope, p.Intents)
}

// Authorize checks that a scope may state intents. An operator with the scope of a
// workspace may change only that workspace.
func Authorize(scope string, intents []Intent) error {
	if scope == ScopeFleet {
		return nil
	}
	for _, i := range intents {
		if i.Aggregate() != "workspace/"+scope || i.Kind == CreateWorkspace {
			return apierr.New(apierr.CodeForbidden, "scope %s may not %s", scope, i)
		}
	}
	return nil
}

// missingConfirms returns the scopes whose confirm a plan still needs: the author's
// scope and each workspace that would lose share.
func (s *State) missingConfirms(p *Plan) []string {
	required := append([]string{p.Scope}, s.tables.workspacesLosingShare(p.Intents)...)
	var out []string
	for _, scope := range required {
		if !slices.Contains(p.Confirmed, scope) && !slices.Contains(out, scope) {
			out = append(out, scope)
		}
	}
	return out
}

// MissingConfirms returns the scopes whose confirm a proposed plan still needs. It
// returns nil for a decided plan.
func (s *State) MissingConfirms(p *Plan) []string {
	if p.Status != Proposed {
		return nil
	}
	return s.missingConfirms(p)
}

func (s *State) indexKeys(intents []Intent) {
	for _, i := range intents {
		switch i.Kind {
		case AddKey:
			s.workspaceByKey[i.KeyHash] = i.Workspace
		case RevokeKey:
			if s.workspaceByKey[i.KeyHash] == i.Workspace {
				delete(s.workspaceByKey, i.KeyHash)
			}
		}
	}
}

// DryRun checks whether a scope's intents could be accepted now, without changing the
// state. It returns the workspaces that would lose share.
func (s *State) DryRun(scope string, intents []Intent) (losingShare []string, err error) {
	if err := Authorize(scope, intents); err != nil {
		return nil, err
	}
	losingShare = s.tables.workspacesLosingShare(intents)
	trial := s.tables.clone()
	return losingShare, trial.applyAll(intents, s.next)
}

func (t *tables) clone() tables {
	return tables{
		Workspaces: cloneMap(t.Workspaces),
		Models:     cloneMap(t.Models),
		Hosts:      cloneMap(t.Hosts),
		Harm:       cloneMap(t.Harm),
		Operators:  cloneMap(t.Operators),
	}
}

func cloneMap[V any](m map[string]V) map[string]V {
	out := make(map[string]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// Plan returns a plan, nil if it does not exist.
func (s *State) Plan(id PlanID) *Plan { return s.plans[id] }

// History returns at most limit decided plans, newest first.
func (s *State) History(limit int) []*Plan {
	var out []*Plan
	for n := len(s.planOrder) - 1; n >= 0 && len(out) < limit; n-- {
		if p := s.plans[s.planOrder[n]]; p.Status != Proposed {
			out = append(out, p)
		}
	}
	return out
}

// WorkspaceByKey returns the workspace of a bearer key with the given hash.
func (s *State) WorkspaceByKey(hash string) (Workspace, bool) {
	name, ok := s.workspaceByKey[hash]
	if !ok {
		return Workspace{}, false
	}
	ws, ok := s.tables.Workspaces[name]
	return ws, ok
}

// OperatorByKey returns the operator of a bearer key with the given hash.
func (s *State) OperatorByKey(hash string) (Operator, bool) {
	for _, op := range s.tables.Operators {
		if op.KeyHash == hash {
			return op, true
		}
	}
	return Operator{}, false
}

// Workspace returns the workspace with the given name.
func (s *State) Workspace(name string) (Workspace, bool) {
	ws, ok := s.tables.Workspaces[name]
	return ws, ok
}

// Model returns the model with the given name.
func (s *State) Model(name string) (Model, bool) {
	m, ok := s.tables.Models[name]
	return m, ok
}

// Models returns all models, sorted by name.
func (s *State) Models() []Model {
	var out []Model
	for _, m := range s.tables.Models {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Model) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Host returns the operators' settings of a host, zero ones if there are none.
func (s *State) Host(name string) Host {
	h := s.tables.Hosts[name]
	h.Name = name
	return h
}

// Harm returns how much longer batch may make an online step of a deployment, as a
// fraction. It returns false if no policy is set.
func (s *State) Harm(deployment string) (float64, bool) {
	h, ok := s.tables.Harm[deployment]
	return h, ok
}

// Workspaces returns the number of workspaces.
func (s *State) Workspaces() int { return len(s.tables.Workspaces) }

// snapshotJSON is the JSON form of a snapshot.
type snapshotJSON struct {
	Next    uint64            `json:"next"`
	Tables  tables            `json:"tables"`
	Changed map[string]Change `json:"changed"`
	Plans   []planJSON        `json:"plans"`
	Writers []writerJSON      `json:"writers"`
}

type planJSON struct {
	ID        []byte   `json:"id"`
	Author    string   `json:"author"`
	Scope     string   `json:"scope"`
	Base      uint64   `json:"base"`
	Raw       []byte   `json:"raw"`
	Why       string   `json:"why"`
	TimeMs    int64    `json:"time_ms"`
	Offset    uint64   `json:"offset"`
	Status    Status   `json:"status"`
	Decided   uint64   `json:"decided"`
	Reason    string   `json:"reason"`
	Confirmed []string `json:"confirmed"`
}

type writerJSON struct {
	Incarnation []byte `json:"incarnation"`
	Seq         uint64 `json:"seq"`
	Offset      uint64 `json:"offset"`
}

// Snapshot encodes the whole state for nodes that cannot read all records.
func (s *State) Snapshot() ([]byte, error) {
	out := snapshotJSON{Next: s.next, Tables: s.tables, Changed: s.lastChanges}
	for _, id := range s.planOrder {
		p := s.plans[id]
		out.Plans = append(out.Plans, planJSON{
			ID: p.ID[:], Author: p.Author, Scope: p.Scope, Base: p.Base, Raw: p.raw, Why: p.Why,
			TimeMs: p.Time.UnixMilli(), Offset: p.Offset, Status: p.Status, Decided: p.Decided,
			Reason: p.Reason, Confirmed: p.Confirmed,
		})
	}
	for _, w := range s.dedupe.Snapshot() {
		out.Writers = append(out.Writers, writerJSON{Incarnation: w.GetIncarnation(), Seq: w.GetSeq(), Offset: w.GetOffset()})
	}
	return json.Marshal(out)
}

// Restore builds a state from a snapshot.
func Restore(data []byte) (*State, error) {
	var in snapshotJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, apierr.New(apierr.CodeInternal, "config snapshot: %v", err)
	}
	s := NewState(Operator{})
	s.next = in.Next
	s.tables = in.Tables
	s.lastChanges = in.Changed
	if s.lastChanges == nil {
		s.lastChanges = make(map[string]Change)
	}
	for _, p := range in.Plans {
		id, ok := planIDFrom(p.ID)
		if !ok {
			continue
		}
		intents, err := DecodeIntents(p.Raw)
		if err != nil {
			return nil, err
		}
		s.plans[id] = &Plan{
			ID: id, Author: p.Author, Scope: p.Scope, Base: p.Base, Intents: intents, Why: p.Why,
			Time: time.UnixMilli(p.TimeMs), Offset: p.Offset, Status: p.Status, Decided: p.Decided,
			Reason: p.Reason, Confirmed: p.Confirmed, raw: p.Raw,
		}
		s.planOrder = append(s.planOrder, id)
	}
	var writers []*wire.WriterState
	for _, w := range in.Writers {
		writers = append(writers, &wire.WriterState{Incarnation: w.Incarnation, Seq: w.Seq, Offset: w.Offset})
	}
	s.dedupe.Restore(writers)
	for name, ws := range s.tables.Workspaces {
		for _, hash := range ws.Keys {
			s.workspaceByKey[hash] = name
		}
	}
	return s, nil
}
