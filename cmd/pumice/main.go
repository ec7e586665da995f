// Command pumice is the command line for callers and operators.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"

	"pumiceford/client"
	"pumiceford/config"
	"pumiceford/daemon"
	"pumiceford/dev"
	"pumiceford/entry"
	"pumiceford/settings"
	"pumiceford/version"
)

type remote struct {
	URL string `arg:"--url,env:PUMICE_URL" default:"http://127.0.0.1:8080" help:"base URL of an entry's API"`
	Key string `arg:"--key,env:PUMICE_KEY" help:"API key, sent as a bearer token"`
}

func (r remote) client() (*client.Client, error) {
	return client.New(r.URL, r.Key)
}

type devCmd struct {
	Check   bool `arg:"--check" help:"run a smoke test against the fleet and exit"`
	Entries int  `arg:"--entries" default:"2"`
	Agents  int  `arg:"--agents" default:"4"`
}

type checkCmd struct {
	Kind string `arg:"positional,required" help:"kind of settings: entry, agent, standin, gateway or seat-agent"`
	File string `arg:"positional,required" help:"settings file"`
}

type chatCmd struct {
	remote
	Model  string `arg:"--model" default:"renewal-7b"`
	Tokens uint32 `arg:"--tokens" default:"64"`
	Prompt string `arg:"positional,required"`
}

type submitCmd struct {
	remote
	File           string `arg:"positional,required" help:"JSONL file of items"`
	Window         string `arg:"--window" default:"24h" help:"completion window of the job"`
	IdempotencyKey string `arg:"--idempotency-key" help:"idempotency key; resending the job with the same key creates no second job"`
	Wait           bool   `arg:"--wait" help:"wait until the job has ended"`
}

type jobCmd struct {
	remote
	ID string `arg:"positional,required" help:"batch ID"`
}

type resultsCmd struct {
	remote
	ID     string `arg:"positional,required" help:"batch ID"`
	Errors bool   `arg:"--errors" help:"print the items without a result, with their errors, instead"`
}

type jobsCmd struct {
	remote
	JSON bool `arg:"--json"`
}

type planCmd struct {
	remote
	Why     string   `arg:"--why" help:"reason for the change, kept in the history"`
	JSON    bool     `arg:"--json"`
	Intents []string `arg:"positional,required" help:"intents as JSON objects"`
}

type confirmCmd struct {
	remote
	JSON   bool   `arg:"--json"`
	Plan   string `arg:"positional,required" help:"plan ID"`
	Digest string `arg:"--digest" help:"digest of the reviewed plan; the confirmation fails if it differs"`
}

type statusCmd struct {
	remote
	JSON bool `arg:"--json"`
}

type args struct {
	Dev         *devCmd        `arg:"subcommand:dev" help:"run a fleet with stand-ins on loopback"`
	Check       *checkCmd      `arg:"subcommand:check" help:"check a settings file"`
	CheckConfig *checkCmd      `arg:"subcommand:check-config" help:"alias of check"`
	Explain     *explainCmd    `arg:"subcommand:explain" help:"show the log lines that concern a request, job or item"`
	Losses      *lossesCmd     `arg:"subcommand:losses" help:"count late and failed requests, jobs and items in logs by cause"`
	Quarantine  *quarantineCmd `arg:"subcommand:quarantine" help:"list requests suspected of crashing targets or held in quarantine, or clear one"`
	Limits      *limitsCmd     `arg:"subcommand:limits" help:"show the rate limits that an entry grants and the request rates of its callers"`
	Shares      *sharesCmd     `arg:"subcommand:shares" help:"show which workspaces hold slots, wait and are refused, over all entries"`
	Targets     *targetsCmd    `arg:"subcommand:targets" help:"show the pace, room and state of all targets"`
	Chat        *chatCmd       `arg:"subcommand:chat" help:"send an online request and stream the response"`
	Submit      *submitCmd     `arg:"subcommand:submit" help:"submit a batch job"`
	Jobs        *jobsCmd       `arg:"subcommand:jobs" help:"list batch jobs"`
	Job         *jobCmd        `arg:"subcommand:job" help:"show a batch job"`
	Results     *resultsCmd    `arg:"subcommand:results" help:"print a job's results"`
	Cancel      *jobCmd        `arg:"subcommand:cancel" help:"cancel a batch job"`
	Plan        *planCmd       `arg:"subcommand:plan" help:"propose a plan from intents and show it"`
	Confirm     *confirmCmd    `arg:"subcommand:confirm" help:"confirm a plan"`
	Status      *statusCmd     `arg:"subcommand:status" help:"show the state of the fleet"`
	History     *statusCmd     `arg:"subcommand:history" help:"list decided plans, newest first"`
	Events      *statusCmd     `arg:"subcommand:events" help:"list recent events of the entry with their reasons"`
	KeyHash     *keyHashCmd    `arg:"subcommand:key-hash" help:"hash a key for an add_key intent"`
}

type keyHashCmd struct {
	Key string `arg:"positional,required"`
}

// Version implements go-arg's Versioned.
func (args) Version() string { return "pumice " + version.Version }

func main() {
	var a args
	p := arg.MustParse(&a)
	if p.Subcommand() == nil {
		p.Fail("a subcommand is required")
	}
	ctx, cancel := daemon.StopContext()
	defer cancel()
	daemon.Main(os.Stderr, func() error { return run(ctx, a) })
}

func run(ctx context.Context, a args) error {
	switch {
	case a.Dev != nil:
		return runDev(ctx, a.Dev)
	case a.Check != nil:
		return runCheck(a.Check)
	case a.CheckConfig != nil:
		return runCheck(a.CheckConfig)
	case a.Explain != nil:
		return runExplain(a.Explain)
	case a.Losses != nil:
		return runLosses(a.Losses)
	case a.Quarantine != nil:
		return runQuarantine(ctx, a.Quarantine)
	case a.Limits != nil:
		return runLimits(ctx, a.Limits)
	case a.Shares != nil:
		return runShares(ctx, a.Shares)
	case a.Targets != nil:
		return runTargets(ctx, a.Targets)
	case a.Chat != nil:
		return runChat(ctx, a.Chat)
	case a.Submit != nil:
		return runSubmit(ctx, a.Submit)
	case a.Jobs != nil:
		return runJobs(ctx, a.Jobs)
	case a.Job != nil:
		return runJob(ctx, a.Job, (*client.Client).Batch)
	case a.Cancel != nil:
		return runJob(ctx, a.Cancel, (*client.Client).Cancel)
	case a.Results != nil:
		return runResults(ctx, a.Results)
	case a.KeyHash != nil:
		fmt.Println(entry.HashKey(a.KeyHash.Key))
		return nil
	}
	return runOperator(ctx, a)
}

func runDev(ctx context.Context, cmd *devCmd) error {
	f, err := dev.Start(dev.Options{Entries: cmd.Entries, Agents: cmd.Agents})
	if err != nil {
		return err
	}
	setup, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	if err := f.Setup(setup); err != nil {
		_ = f.Stop()
		return err
	}
	if cmd.Check {
		err := f.Check(ctx, os.Stdout)
		if stopErr := f.Stop(); err == nil {
			err = stopErr
		}
		return err
	}
	fmt.Print(f.Hints())
	<-ctx.Done()
	return f.Stop()
}

func runCheck(cmd *checkCmd) error {
	kinds := map[string]settings.Checker{"entry": &settings.Entry{}, "agent": &settings.Agent{}, "standin": &settings.Standin{},
		"gateway": &settings.Gateway{}, "seat-agent": &settings.SeatAgent{}}
	set, ok := kinds[cmd.Kind]
	if !ok {
		return &settings.Error{File: cmd.File, Problem: "the kind of settings must be entry, agent, standin, gateway or seat-agent"}
	}
	if err := settings.Load(cmd.File, set); err != nil {
		return err
	}
	fmt.Println(cmd.File + ": settings are valid")
	return nil
}

func runChat(ctx context.Context, cmd *chatCmd) error {
	c, err := cmd.client()
	if err != nil {
		return err
	}
	err = c.Stream(ctx, client.CompletionRequest{Model: cmd.Model, Prompt: cmd.Prompt, MaxTokens: cmd.Tokens}, func(s string) { fmt.Print(s) })
	fmt.Println()
	return err
}

func runSubmit(ctx context.Context, cmd *submitCmd) error {
	c, err := cmd.client()
	if err != nil {
		return err
	}
	data, err := os.ReadFile(cmd.File)
	if err != nil {
		return err
	}
	id, err := c.Upload(ctx, cmd.File, data)
	if err != nil {
		return err
	}
	var headers []client.Header
	if cmd.IdempotencyKey != "" {
		headers = append(headers, client.Header{Name: entry.HeaderIdempotencyKey, Value: cmd.IdempotencyKey})
	}
	b, err := c.Submit(ctx, id, "/v1/completions", cmd.Window, headers...)
	if err != nil {
		return err
	}
	if cmd.Wait {
		if b, err = c.Wait(ctx, b.ID, time.Second); err != nil {
			return err
		}
	}
	return printJSON(b)
}

func runJobs(ctx context.Context, cmd *jobsCmd) error {
	c, err := cmd.client()
	if err != nil {
		return err
	}
	list, err := c.Batches(ctx)
	if err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(list)
	}
	return printTable("ID\tSTATUS\tTOTAL\tDONE\tFAILED", func(w *tabwriter.Writer) {
		for _, b := range list {
			printRow(w, b.ID, b.Status, b.RequestCounts.Total, b.RequestCounts.Completed, b.RequestCounts.Failed)
		}
	})
}

func runJob(ctx context.Context, cmd *jobCmd, call func(*client.Client, context.Context, string) (client.Batch, error)) error {
	c, err := cmd.client()
	if err != nil {
		return err
	}
	b, err := call(c, ctx, cmd.ID)
	if err != nil {
		return err
	}
	return printJSON(b)
}

func runResults(ctx context.Context, cmd *resultsCmd) error {
	c, err := cmd.client()
	if err != nil {
		return err
	}
	b, err := c.Batch(ctx, cmd.ID)
	if err != nil {
		return err
	}
	id := b.OutputFileID
	if cmd.Errors {
		id = b.ErrorFileID
	}
	data, err := c.Content(ctx, id)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(data)
	return err
}

func runOperator(ctx context.Context, a args) error {
	switch {
	case a.Plan != nil:
		return runPlan(ctx, a.Plan)
	case a.Confirm != nil:
		return runConfirm(ctx, a.Confirm)
	case a.Status != nil:
		return runStatus(ctx, a.Status)
	case a.History != nil:
		return runHistory(ctx, a.History)
	}
	return runEvents(ctx, a.Events)
}

func runPlan(ctx context.Context, cmd *planCmd) error {
	c, err := cmd.client()
	if err != nil {
		return err
	}
	intents, err := config.DecodeIntents([]byte("[" + strings.Join(cmd.Intents, ",") + "]"))
	if err != nil {
		return err
	}
	var p entry.PlanReply
	if err := c.JSON(ctx, "POST", "/plans", entry.ProposeBody{Why: cmd.Why, Intents: intents}, &p); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(p)
	}
	printPlan(p)
	fmt.Printf("confirm with: pumice confirm %s --digest %s\n", p.ID, p.Digest)
	return nil
}

func printPlan(p entry.PlanReply) {
	fmt.Printf("plan %s by %s, %s\n", p.ID, p.Author, p.Status)
	for _, c := range p.Changes {
		fmt.Println("  change:", c)
	}
	for _, e := range p.Effects {
		fmt.Println("  effect:", e)
	}
	if len(p.MissingConfirms) > 0 {
		fmt.Println("  still needs confirmation from:", strings.Join(p.MissingConfirms, ", "))
	}
	if p.Status == config.Accepted {
		fmt.Printf("  accepted at offset %d; in force everywhere: %t\n", p.Decided, p.InForce)
	}
	if len(p.Laggards) > 0 {
		fmt.Println("  not yet in force on:", strings.Join(p.Laggards, ", "))
	}
}

func runConfirm(ctx context.Context, cmd *confirmCmd) error {
	c, err := cmd.client()
	if err != nil {
		return err
	}
	var p entry.PlanReply
	if err := c.JSON(ctx, "POST", "/plans/"+cmd.Plan+"/confirm", entry.ConfirmBody{Digest: cmd.Digest}, &p); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(p)
	}
	printPlan(p)
	return nil
}

func runStatus(ctx context.Context, cmd *statusCmd) error {
	c, err := cmd.client()
	if err != nil {
		return err
	}
	var s entry.StatusReply
	if err := c.JSON(ctx, "GET", "/status", nil, &s); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(s)
	}
	fmt.Printf("%s: ready %t, config offset %d, %d workspaces, behind: %s\n", s.Node, s.Ready, s.ConfigOffset, s.Workspaces, strings.Join(s.Laggards, ", "))
	return printTable("AGENT\tDATA CENTRE\tSEATS\tRUNNING\tQUEUED\tLEAVING\tMODELS", func(w *tabwriter.Writer) {
		for _, a := range s.Agents {
			printRow(w, a.Name, a.DataCentre, a.Seats, a.Running, a.Queued, a.Leaving, strings.Join(a.Models, ","))
		}
	})
}

func runHistory(ctx context.Context, cmd *statusCmd) error {
	c, err := cmd.client()
	if err != nil {
		return err
	}
	var list []config.PlanView
	if err := c.JSON(ctx, "GET", "/history", nil, &list); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(list)
	}
	return printTable("OFFSET\tPLAN\tAUTHOR\tSTATUS\tWHY\tCHANGES", func(w *tabwriter.Writer) {
		for _, p := range list {
			printRow(w, p.Decided, p.ID, p.Author, p.Status, p.Why+p.Reason, strings.Join(p.Changes, "; "))
		}
	})
}

func runEvents(ctx context.Context, cmd *statusCmd) error {
	c, err := cmd.client()
	if err != nil {
		return err
	}
	var list []entry.Event
	if err := c.JSON(ctx, "GET", "/events", nil, &list); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(list)
	}
	return printTable("TIME\tKIND\tSUBJECT\tREASON", func(w *tabwriter.Writer) {
		for _, e := range list {
			printRow(w, e.Time.Format(time.RFC3339), e.Kind, e.Subject, e.Reason)
		}
	})
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func printTable(header string, body func(w *tabwriter.Writer)) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header) // Flush reports a write error
	body(w)
	return w.Flush()
}

func printRow(w *tabwriter.Writer, cells ...any) {
	parts := make([]string, len(cells))
	for n, c := range cells {
		parts[n] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(w, strings.Join(parts, "\t")) // Flush reports a write error
}
