package entry

import (
	"context"
	"encoding/json"
	"net"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"

	"pumiceford/apierr"
	"pumiceford/config"
	"pumiceford/httpx"
)

// maxOperatorBodyBytes is the maximum size of an operator's request body in bytes.
const maxOperatorBodyBytes = 1 << 20

// ServeOperators serves the operators' interface on ln until ctx ends.
func (e *Entry) ServeOperators(ctx context.Context, ln net.Listener) error {
	h := httpx.NewGuardedServer(ln, maxOperatorBodyBytes, e.cfg.OperatorGuard)
	h.GET("/metrics", e.serveMetrics())
	h.POST("/plans", e.handleOperator(e.servePropose))
	h.GET("/plans/:id", e.handleOperator(e.servePlan))
	h.POST("/plans/:id/confirm", e.handleOperator(e.serveConfirm))
	h.GET("/status", e.handleOperator(e.serveStatus))
	h.GET("/history", e.handleOperator(e.serveHistory))
	h.GET("/events", e.handleOperator(e.serveEvents))
	return httpx.Serve(ctx, h)
}

// operatorHandler handles a request of an authenticated operator.
type operatorHandler func(ctx context.Context, c *app.RequestContext, op config.Operator) error

// handleOperator wraps fn: it authenticates the operator's key and writes errors
// as responses.
func (e *Entry) handleOperator(fn operatorHandler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		hash := HashKey(bearerKey(c))
		var op config.Operator
		ok := false
		e.follower.View(func(s *config.State) { op, ok = s.OperatorByKey(hash) })
		if !ok {
			writeError(c, apierr.New(apierr.CodeUnauthorized, "unknown operator key"))
			return
		}
		if err := fn(ctx, c, op); err != nil {
			writeError(c, err)
		}
	}
}

// ProposeBody is the body of a request that proposes a plan.
type ProposeBody struct {
	Why     string          `json:"why"`
	Intents []config.Intent `json:"intents"`
}

// PlanReply is a plan with its effects and its progress.
type PlanReply struct {
	config.PlanView
	Effects []string `json:"effects,omitempty"`
	// Laggards are the nodes that have not yet applied an accepted plan.
	Laggards []string `json:"laggards,omitempty"`
	InForce  bool     `json:"in_force"`
}

func (e *Entry) servePropose(ctx context.Context, c *app.RequestContext, op config.Operator) error {
	var body ProposeBody
	if err := json.Unmarshal(c.Request.Body(), &body); err != nil {
		return apierr.New(apierr.CodeBadRequest, "body: %v", err)
	}
	if len(body.Intents) == 0 {
		return apierr.New(apierr.CodeBadRequest, "intents are missing")
	}
	v, err := e.follower.Propose(ctx, op, body.Why, body.Intents)
	if err != nil {
		return err
	}
	e.events.add("plan", v.ID, op.Name+" proposed a plan")
	httpx.WriteJSON(c, 200, PlanReply{PlanView: v, Effects: e.effects(body.Intents)})
	return nil
}

func (e *Entry) servePlan(ctx context.Context, c *app.RequestContext, _ config.Operator) error {
	id, err := config.ParsePlanID(c.Param("id"))
	if err != nil {
		return err
	}
	v, err := e.follower.Plan(id)
	if err != nil {
		return err
	}
	httpx.WriteJSON(c, 200, e.planReply(ctx, v))
	return nil
}

// planReply returns v with, for an accepted plan, the nodes that have not applied
// it.
func (e *Entry) planReply(ctx context.Context, v config.PlanView) PlanReply {
	r := PlanReply{PlanView: v}
	if v.Status == config.Accepted {
		r.Laggards = e.laggingNodes(ctx, v.Decided+1)
		r.InForce = len(r.Laggards) == 0
	}
	return r
}

// ConfirmBody is the body of a request that confirms a plan. Digest is the digest
// of the plan that the operator has seen.
type ConfirmBody struct {
	Digest string `json:"digest"`
}

func (e *Entry) serveConfirm(ctx context.Context, c *app.RequestContext, op config.Operator) error {
	id, err := config.ParsePlanID(c.Param("id"))
	if err != nil {
		return err
	}
	var body ConfirmBody
	if len(c.Request.Body()) > 0 {
		if err := json.Unmarshal(c.Request.Body(), &body); err != nil {
			return apierr.New(apierr.CodeBadRequest, "body: %v", err)
		}
	}
	v, err := e.follower.Confirm(ctx, op, id, body.Digest)
	if err != nil {
		return err
	}
	e.events.add("confirm", v.ID, op.Name+" confirmed; status "+string(v.Status))
	httpx.WriteJSON(c, 200, e.planReply(ctx, v))
	return nil
}

// effects describes to an operator what the intents change.
func (e *Entry) effects(intents []config.Intent) []string {
	var out []string
	agents := len(e.agentStatuses())
	for _, i := range intents {
		switch i.Kind {
		case config.SetModel:
			n := i.Replicas
			if n == 0 {
				n = agents
			}
			out = append(out, "weights of "+i.Model+" are loaded on "+strconv.Itoa(n)+" targets, one after another; the old version serves until the new one answers")
		case config.Drain:
			out = append(out, i.Host+" gets nothing new within seconds; what runs there finishes")
		case config.SetShare:
			out = append(out, "queues of "+i.Workspace+" are weighted anew on every target")
		}
	}
	return out
}

// StatusReply is the state of the fleet as known to one entry.
type StatusReply struct {
	Node         string        `json:"node"`
	Ready        bool          `json:"ready"`
	ConfigOffset uint64        `json:"config_offset"`
	Workspaces   int           `json:"workspaces"`
	Laggards     []string      `json:"laggards"`
	Agents       []AgentStatus `json:"agents"`
	Partitions   []Partition   `json:"partitions"`
}

// AgentStatus is the last status that an agent reported.
type AgentStatus struct {
	Name         string   `json:"name"`
	DataCentre   string   `json:"data_centre"`
	Models       []string `json:"models"`
	Seats        int      `json:"seats"`
	Running      int      `json:"running"`
	Queued       int      `json:"queued"`
	Leaving      bool     `json:"leaving"`
	ConfigOffset uint64   `json:"config_offset"`
}

// Partition is a batch partition with the entry that is proposed as its owner.
type Partition struct {
	Number uint32 `json:"number"`
	Owner  string `json:"owner"`
}

func (e *Entry) serveStatus(ctx context.Context, c *app.RequestContext, _ config.Operator) error {
	s := StatusReply{Node: e.cfg.Name, Ready: e.Ready(), ConfigOffset: e.follower.Offset()}
	e.follower.View(func(st *config.State) { s.Workspaces = st.Workspaces() })
	s.Laggards = e.laggingNodes(ctx, s.ConfigOffset)
	s.Agents = e.agentStatuses()
	for p := uint32(0); p < e.cfg.Ledger.Partitions; p++ {
		s.Partitions = append(s.Partitions, Partition{Number: p, Owner: e.manager.Proposed(p)})
	}
	httpx.WriteJSON(c, 200, s)
	return nil
}

func (e *Entry) agentStatuses() []AgentStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []AgentStatus{}
	for _, a := range e.router.Agents() {
		out = append(out, AgentStatus{
			Name: a.Name, DataCentre: a.Report.DataCentre, Models: a.Report.Models, Seats: a.Report.Seats,
			Running: a.Report.Running, Queued: a.Report.Queued, Leaving: a.Report.Leaving, ConfigOffset: e.offsets[a.Name],
		})
	}
	return out
}

func (e *Entry) serveHistory(_ context.Context, c *app.RequestContext, _ config.Operator) error {
	const maxPlans = 100
	list := e.follower.History(maxPlans)
	if list == nil {
		list = []config.PlanView{}
	}
	httpx.WriteJSON(c, 200, list)
	return nil
}

func (e *Entry) serveEvents(_ context.Context, c *app.RequestContext, _ config.Operator) error {
	list := e.events.forSubject(c.Query("subject"))
	if list == nil {
		list = []Event{}
	}
	httpx.WriteJSON(c, 200, list)
	return nil
}
