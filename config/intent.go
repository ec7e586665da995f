// Package config holds the configuration aggregates: workspaces, models, hosts,
// deployment policies and operators. Their state is a fold over the config stream of
// the platform's log. An operator states intents, receives a plan and confirms it. Only
// the fold decides whether a confirm takes effect, so that all nodes agree.
package config

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"pumiceford/apierr"
)

// Kind is the kind of an Intent.
type Kind string

// The kinds of intents, each with the fields that it uses.
const (
	CreateWorkspace Kind = "create_workspace" // workspace
	SetShare        Kind = "set_share"        // workspace, share
	SetLimit        Kind = "set_limit"        // workspace, limit
	AddKey          Kind = "add_key"          // workspace, key_hash
	RevokeKey       Kind = "revoke_key"       // workspace, key_hash
	SetModel        Kind = "set_model"        // model, version, replicas
	SetAdapter      Kind = "set_adapter"      // workspace, model, adapter
	Drain           Kind = "drain"            // host
	Undrain         Kind = "undrain"          // host
	SetRole         Kind = "set_role"         // host, role
	SetPolicy       Kind = "set_policy"       // deployment, harm
	AddOperator     Kind = "add_operator"     // operator, scope, key_hash
	RevokeOperator  Kind = "revoke_operator"  // operator
)

// Intent is one change that an operator requests. Kind determines which fields apply.
type Intent struct {
	Kind       Kind    `json:"kind"`
	Workspace  string  `json:"workspace,omitempty"`
	Share      float64 `json:"share,omitempty"` // fraction of the fleet, 0 to 1
	Limit      float64 `json:"limit,omitempty"` // requests per second, 0 means unlimited
	KeyHash    string  `json:"key_hash,omitempty"`
	Model      string  `json:"model,omitempty"`
	Version    string  `json:"version,omitempty"`
	Replicas   int     `json:"replicas,omitempty"` // targets that serve the model, 0 means all
	Adapter    string  `json:"adapter,omitempty"`
	Host       string  `json:"host,omitempty"`
	Role       string  `json:"role,omitempty"`
	Deployment string  `json:"deployment,omitempty"`
	Harm       float64 `json:"harm,omitempty"` // how much longer batch may make an online step, 0 to 1
	Operator   string  `json:"operator,omitempty"`
	Scope      string  `json:"scope,omitempty"`
}

// ScopeFleet is the scope of operators of the whole fleet. Any other scope is the name
// of a workspace.
const ScopeFleet = "fleet"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Validate checks the fields of an intent without regard to the state.
func (i Intent) Validate() error {
	match := func(field, value string, pattern *regexp.Regexp) error {
		if !pattern.MatchString(value) {
			return apierr.New(apierr.CodeBadRequest, "%s: %s is missing or malformed", i.Kind, field)
		}
		return nil
	}
	switch i.Kind {
	case CreateWorkspace:
		if i.Workspace == ScopeFleet {
			return apierr.New(apierr.CodeBadRequest, "a workspace cannot be named %q", ScopeFleet)
		}
		return match("workspace", i.Workspace, namePattern)
	case SetShare:
		if i.Share < 0 || i.Share > 1 {
			return apierr.New(apierr.CodeBadRequest, "share must be between 0 and 1")
		}
		return match("workspace", i.Workspace, namePattern)
	case SetLimit:
		if i.Limit < 0 {
			return apierr.New(apierr.CodeBadRequest, "limit must not be negative")
		}
		return match("workspace", i.Workspace, namePattern)
	case AddKey, RevokeKey:
		if err := match("workspace", i.Workspace, namePattern); err != nil {
			return err
		}
		return match("key_hash", i.KeyHash, hashPattern)
	case SetModel:
		if i.Replicas < 0 {
			return apierr.New(apierr.CodeBadRequest, "replicas must not be negative")
		}
		if err := match("version", i.Version, namePattern); err != nil {
			return err
		}
		return match("model", i.Model, namePattern)
	case SetAdapter:
		if err := match("model", i.Model, namePattern); err != nil {
			return err
		}
		return match("workspace", i.Workspace, namePattern)
	case Drain, Undrain:
		return match("host", i.Host, namePattern)
	case SetRole:
		if err := match("role", i.Role, namePattern); err != nil {
			return err
		}
		return match("host", i.Host, namePattern)
	case SetPolicy:
		if i.Harm < 0 || i.Harm > 1 {
			return apierr.New(apierr.CodeBadRequest, "harm must be between 0 and 1")
		}
		return match("deployment", i.Deployment, namePattern)
	case AddOperator:
		if err := match("operator", i.Operator, namePattern); err != nil {
			return err
		}
		if err := match("scope", i.Scope, namePattern); err != nil {
			return err
		}
		return match("key_hash", i.KeyHash, hashPattern)
	case RevokeOperator:
		return match("operator", i.Operator, namePattern)
	}
	return apierr.New(apierr.CodeBadRequest, "unknown kind of intent %q", string(i.Kind))
}

// Aggregate returns the key of the aggregate that the intent changes, such as
// "host/NAME".
func (i Intent) Aggregate() string {
	switch i.Kind {
	case SetModel:
		return "model/" + i.Model
	case Drain, Undrain, SetRole:
		return "host/" + i.Host
	case SetPolicy:
		return "policy/" + i.Deployment
	case AddOperator, RevokeOperator:
		return "operator/" + i.Operator
	}
	return "workspace/" + i.Workspace
}

// String describes the change for operators.
func (i Intent) String() string {
	switch i.Kind {
	case CreateWorkspace:
		return "create workspace " + i.Workspace
	case SetShare:
		return fmt.Sprintf("set the share of workspace %s to %.1f%% of the fleet", i.Workspace, 100*i.Share)
	case SetLimit:
		return fmt.Sprintf("limit workspace %s to %g requests a second", i.Workspace, i.Limit)
	case AddKey:
		return "add a key to workspace " + i.Workspace
	case RevokeKey:
		return "revoke a key of workspace " + i.Workspace
	case SetModel:
		return fmt.Sprintf("serve model %s at version %s on %s", i.Model, i.Version, replicasText(i.Replicas))
	case SetAdapter:
		return fmt.Sprintf("use adapter %q for workspace %s on model %s", i.Adapter, i.Workspace, i.Model)
	case Drain:
		return "drain host " + i.Host
	case Undrain:
		return "let host " + i.Host + " serve again"
	case SetRole:
		return fmt.Sprintf("give host %s the role %s", i.Host, i.Role)
	case SetPolicy:
		return fmt.Sprintf("let batch lengthen online steps of deployment %s by %.1f%%", i.Deployment, 100*i.Harm)
	case AddOperator:
		return fmt.Sprintf("add operator %s with scope %s", i.Operator, i.Scope)
	case RevokeOperator:
		return "revoke operator " + i.Operator
	}
	return string(i.Kind)
}

func replicasText(n int) string {
	if n == 0 {
		return "all targets"
	}
	return fmt.Sprintf("%d targets", n)
}

// maxIntents bounds the number of intents in a plan.
const maxIntents = 1000

// DecodeIntents decodes and validates the JSON form of intents.
func DecodeIntents(data []byte) ([]Intent, error) {
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	var intents []Intent
	if err := dec.Decode(&intents); err != nil {
		return nil, apierr.New(apierr.CodeBadRequest, "intents: %v", err)
	}
	if len(intents) == 0 || len(intents) > maxIntents {
		return nil, apierr.New(apierr.CodeBadRequest, "a plan has 1 to %d intents", maxIntents)
	}
	for _, i := range intents {
		if err := i.Validate(); err != nil {
			return nil, err
		}
	}
	return intents, nil
}

func touchedAggregates(intents []Intent) []string {
	var out []string
	for _, i := range intents {
		if key := i.Aggregate(); !slices.Contains(out, key) {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}
