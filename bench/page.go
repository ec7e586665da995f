package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// Sizes of letter 1.
const (
	LetterEntries    = 340
	LetterAgents     = 600
	LetterRequests   = 3400.0   // a second at the peak
	LetterTokens     = 820000.0 // a second at the peak
	LetterItems      = 320e6    // a day
	LetterJobs       = 25000.0  // a day
	LetterWorkspaces = 32000.0
	LetterChanges    = 460.0 // of configuration a day
	LetterFailures   = 11.0  // hosts a day
	LetterRestarts   = 66.0  // hosts a day
)

// Choices of the design at that size.
const (
	letterPartitions = 64.0
	letterAgentsPer  = 64.0 // agents that one entry talks to
	letterFlush      = 6.0  // seconds between two appends of results of one owner
	letterKeepDays   = 3.0  // results stay readable
	letterCarryDays  = 0.5  // needed records are repeated at half of the retention
	letterFollow     = 2.0  // seconds between two reads of an idle owner
	letterPollEvery  = 5.0  // seconds, idle read of the config stream
	letterHostsEvery = 2.0  // seconds, host list at an entry
	letterFeedBytes  = 45.0 // bytes/s of an idle batch stream in one direction, derived from its messages
	secondsADay      = 86400.0
)

// Bounds of letter 1 for control on one node.
const (
	boundCPU    = 0.013     // of a core
	boundMemory = 128 << 20 // bytes
	boundBytes  = 2048.0    // a second
)

// slope finds a slope by name.
func (c Capacity) slope(name string) Slope {
	for _, s := range c.Slopes {
		if s.Name == name {
			return s
		}
	}
	return Slope{Name: name}
}

func (c Capacity) per(name string) float64 {
	return c.slope(name).Per
}

// row is one line of the table.
type row struct {
	what  string
	steps string
	value float64
	unit  string
	bound float64 // 0 when the letter names none
}

// Page returns the tables of the capacity page that follow from the slopes.
func (c Capacity) Page() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Measured on %s by `go run ./cmd/pumice-bench capacity --out docs/capacity.json`.\n\n", c.Machine)
	b.WriteString("| slope | per unit | standard error | unit |\n| --- | --- | --- | --- |\n")
	for _, s := range c.Slopes {
		fmt.Fprintf(&b, "| %s | %.4g | %.2g | %s |\n", s.Name, s.Per, s.Error, s.Unit)
	}
	for _, t := range []struct {
		title string
		rows  []row
	}{
		{"Entry, control", c.entryControl()},
		{"Agent, control", c.agentControl()},
		{"Partition owner", c.ownerRows()},
		{"Online data path, entry and agent together", c.dataRows()},
		{"The platform's log", c.logRows()},
		{"Recovery", c.recoveryRows()},
	} {
		writeTable(&b, t.title, t.rows)
	}
	return b.String()
}

func writeTable(b *strings.Builder, title string, rows []row) {
	fmt.Fprintf(b, "\n### %s\n\n| what | worked out from | value | bound |\n| --- | --- | --- | --- |\n", title)
	for _, r := range rows {
		bound := "none named"
		if r.bound > 0 {
			verdict := "met"
			if r.value > r.bound {
				verdict = "**missed**"
			}
			bound = fmt.Sprintf("%.4g %s: %s", r.bound, r.unit, verdict)
		}
		fmt.Fprintf(b, "| %s | %s | %.4g %s | %s |\n", r.what, r.steps, r.value, r.unit, bound)
	}
}

func (c Capacity) polls(hostsEvery float64) (bytes, used float64) {
	bytes = c.per("log_poll_bytes")/letterPollEvery + c.per("hosts_poll_bytes")/hostsEvery
	used = c.per("log_poll_cpu")/letterPollEvery + c.per("hosts_poll_cpu")/hostsEvery
	return bytes, used
}

func (c Capacity) configCPU() float64 {
	const recordsPerChange = 2 // plan and confirm
	return c.per("config_cpu") * LetterChanges * recordsPerChange / secondsADay
}

func (c Capacity) entryControl() []row {
	pollBytes, pollCPU := c.polls(letterHostsEvery)
	return []row{
		{"bytes", "64 sessions x session_bytes + log_poll_bytes/5 s + hosts_poll_bytes/2 s", letterAgentsPer*c.per("session_bytes") + pollBytes, "bytes/s", boundBytes},
		{"processor", "64 x session_cpu + log_poll_cpu/5 s + hosts_poll_cpu/2 s + 460 changes a day x 2 records x config_cpu", letterAgentsPer*c.per("session_cpu") + pollCPU + c.configCPU(), "core", boundCPU},
		{"memory", "32,000 x workspace_memory + 64 x session_memory", LetterWorkspaces*c.per("workspace_memory") + letterAgentsPer*c.per("session_memory"), "bytes", boundMemory},
	}
}

func (c Capacity) agentControl() []row {
	sessions := LetterEntries * letterAgentsPer / LetterAgents
	feeds := letterPartitions * letterAgentsPer / LetterAgents
	const agentHosts = 10.0 // seconds between reads of the host list at an agent
	pollBytes, pollCPU := c.polls(agentHosts)
	return []row{
		{"bytes", "340 x 64 / 600 sessions x session_busy_bytes + 64 x 64 / 600 batch streams x 45 bytes/s (derived) + polls", sessions*c.per("session_busy_bytes") + feeds*letterFeedBytes + pollBytes, "bytes/s", boundBytes},
		{"processor", "36.3 x session_cpu + polls + config changes", sessions*c.per("session_cpu") + pollCPU + c.configCPU(), "core", boundCPU},
		{"memory", "32,000 x workspace_memory + 36.3 x session_memory", LetterWorkspaces*c.per("workspace_memory") + sessions*c.per("session_memory"), "bytes", boundMemory},
	}
}

func (c Capacity) ownerRows() []row {
	perOwner := LetterItems / letterPartitions
	jobs := LetterJobs / letterPartitions
	return []row{
		{"items a second", "320 M / 86,400 s / 64 partitions", perOwner / secondsADay, "items/s", 0},
		{"jobs kept", "25,000 x 3 days / 64", jobs * letterKeepDays, "jobs", 0},
		{"memory of jobs kept", "jobs x job_memory", jobs * letterKeepDays * c.per("job_memory"), "bytes", boundMemory},
		{"processor while idle", "partition_cpu", c.per("partition_cpu"), "core", boundCPU},
		{"memory while idle", "partition_memory", c.per("partition_memory"), "bytes", boundMemory},
		{"memory of a day's items", "5 M x item_done_memory", perOwner * c.per("item_done_memory"), "bytes", boundMemory},
		{"memory of 3 days' items", "15 M x item_done_memory", perOwner * letterKeepDays * c.per("item_done_memory"), "bytes", boundMemory},
		{"processor", "58 items/s x item_cpu", perOwner / secondsADay * c.per("item_cpu"), "core", boundCPU},
		{"bytes of its reads of the log", "log_poll_bytes / 2 s", c.per("log_poll_bytes") / letterFollow, "bytes/s", 0},
		{"snapshot of 3 days", "15 M x item_snapshot_bytes", perOwner * letterKeepDays * c.per("item_snapshot_bytes"), "bytes", 0},
	}
}

func (c Capacity) dataRows() []row {
	nodes := float64(LetterEntries + LetterAgents)
	requests := LetterRequests * c.per("request_cpu")
	tokens := LetterTokens * c.per("token_cpu")
	return []row{
		{"processor for requests, whole fleet", "3,400/s x request_cpu", requests, "cores", 0},
		{"processor for tokens, whole fleet", "820,000/s x token_cpu", tokens, "cores", 0},
		{"processor for each node", "both / 940 nodes", (requests + tokens) / nodes, "core", 0},
	}
}

func (c Capacity) logRows() []row {
	appends := letterPartitions / letterFlush
	itemsPerAppend := LetterItems / secondsADay / appends
	results := LetterItems / secondsADay * c.per("item_log_bytes")
	const chunkItems = 128 // items of 2 KB in a chunk of 256 KiB
	uploads := LetterItems / secondsADay / chunkItems
	const perJob = 3.0 // seal, commit and the last results
	jobs := LetterJobs * perJob / secondsADay
	carryBytes := results * letterKeepDays / letterCarryDays
	carries := carryBytes / (1 << 20)
	const budget = 250.0
	return []row{
		{"items in an append of results", "3,704 items/s / (64 owners / 6 s)", itemsPerAppend, "items", 0},
		{"appends of results", "64 owners / 6 s", appends, "appends/s", 0},
		{"appends of uploads", "3,704 items/s / 128 items of 2 KB in a chunk (assumed)", uploads, "appends/s", 0},
		{"appends of jobs", "25,000 x 3 / 86,400 s", jobs, "appends/s", 0},
		{"appends of carried results", "bytes of carried results / 1 MiB", carries, "appends/s", 0},
		{"appends in all", "results + uploads + jobs + carried", appends + uploads + jobs + carries, "appends/s", budget},
		{"bytes of results", "3,704 items/s x item_log_bytes", results, "bytes/s", 0},
		{"bytes of carried results", "bytes of results x 3 days kept / 0.5 days", carryBytes, "bytes/s", 0},
		{"bytes of uploads", "3,704 items/s x 2 KB (assumed)", LetterItems / secondsADay * 2048, "bytes/s", 0},
	}
}

func (c Capacity) recoveryRows() []row {
	losses := LetterFailures + LetterRestarts
	ownerLosses := losses * letterPartitions / (LetterEntries + LetterAgents)
	const tailRecords = 2000.0 // records behind the newest snapshot at most
	tail := tailRecords * LetterItems / secondsADay / (letterPartitions / letterFlush)
	return []row{
		{"partitions that change hands", "(11 + 66) hosts a day x 64 / 940", ownerLosses, "a day", 0},
		{"replay after one", "2,000 records x 347 items x item_cpu", tail * c.per("item_cpu"), "core seconds", 0},
		{"work in flight of one lost agent", "half of 6.2 items/s x 2 s reserve and seats", LetterItems / secondsADay / LetterAgents * 2 / 2, "items", 0},
		{"sessions dialled again after a data centre is lost and back", "940 / 8 hosts x 64", float64(LetterEntries+LetterAgents) / 8 * letterAgentsPer, "dials", 0},
	}
}

// Marks around the tables in the page.
const (
	pageBegin = "<!-- tables: begin, written by pumice-bench page -->\n"
	pageEnd   = "<!-- tables: end -->\n"
)

// LoadCapacity reads recorded slopes.
func LoadCapacity(path string) (Capacity, error) {
	var c Capacity
	data, err := os.ReadFile(path)
	if err != nil {
		return c, err
	}
	return c, json.Unmarshal(data, &c)
}

// splitPage returns what stands before, between and after the marks.
func splitPage(page string) (before, tables, after string, err error) {
	before, rest, ok := strings.Cut(page, pageBegin)
	if !ok {
		return "", "", "", &FailedError{What: "the page has no mark where its tables begin"}
	}
	tables, after, ok = strings.Cut(rest, pageEnd)
	if !ok {
		return "", "", "", &FailedError{What: "the page has no mark where its tables end"}
	}
	return before, tables, after, nil
}

// UpdatePage writes the page's tables from recorded slopes.
func UpdatePage(slopes, page string) error {
	c, err := LoadCapacity(slopes)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	before, _, after, err := splitPage(string(text))
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(before+pageBegin+c.Page()+pageEnd+after), 0o644)
}
