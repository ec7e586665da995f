package losses_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"pumiceford/explain"
	"pumiceford/losses"
)

// findLosses returns the report of a log. Each line holds the second, the process and the
// JSON fields.
func findLosses(t *testing.T, lines ...string) *losses.Report {
	t.Helper()
	var b strings.Builder
	for _, l := range lines {
		at, rest, _ := strings.Cut(l, " ")
		source, fields, _ := strings.Cut(rest, " ")
		_, _ = fmt.Fprintf(&b, "%s {\"time\":\"2026-01-01T00:00:%sZ\",\"level\":\"info\",%s}\n", source, at, fields) // a Builder returns no error
	}
	all, err := explain.Read("log", strings.NewReader(b.String()))
	if err != nil || len(all) != len(lines) {
		t.Fatalf("read %d of %d lines: %v", len(all), len(lines), err)
	}
	return losses.Find(all)
}

func requestSent(extra string) string {
	return `"request":"q","message":"online: request sent"` + extra
}

func requestEnded(outcome string, first int) string {
	return fmt.Sprintf(`"request":"q","message":"online: request ended","outcome":"%s","first_ms":%d,"aim_ms":300`, outcome, first)
}

func TestClassifiesRequestsByCause(t *testing.T) {
	for _, c := range []struct {
		want  losses.Cause
		lines []string
	}{
		{"", []string{"01.0 e " + requestSent(""), "01.1 e " + requestEnded("served", 90)}},
		{"", []string{"01.0 e " + requestSent(""), "01.1 e " + requestEnded("caller_left", -1)}},
		{losses.ProcessLost, []string{"01.0 e " + requestSent("")}},
		{losses.NotReady, []string{`01.0 e "request":"q","message":"online: request refused","outcome":"not_ready"`}},
		{losses.NoRoute, []string{`01.0 e "request":"q","message":"online: request refused","outcome":"no_route"`}},
		{losses.NoTarget, []string{"01.0 e " + requestEnded("no_target", -1)}},
		{losses.Stopping, []string{"01.0 e " + requestEnded("stopping", -1)}},
		{losses.Quarantined, []string{"01.0 e " + requestEnded("quarantined", -1)}},
		{losses.Overload, []string{"01.0 e " + requestEnded("overload", -1)}},
		{losses.ResponseLost, []string{"01.0 e " + requestSent(""), "01.1 e " + requestEnded("cut_lost", 20)}},
		{losses.OriginUnknown, []string{"01.0 e " + requestSent(""), "01.1 e " + requestEnded("cut_origin_unknown", 20)}},
		{losses.WaitedForSlot, []string{"01.0 e " + requestSent(`,"waiting":2`), "01.5 e " + requestEnded("served", 500)}},
		{losses.WaitedForBatch, []string{"01.0 e " + requestSent(`,"batch":2`), "01.5 e " + requestEnded("served", 500)}},
		{losses.SlowTarget, []string{"01.0 e " + requestSent(""), "01.5 e " + requestEnded("served", 500)}},
		{losses.TargetUnresponsive, []string{"01.0 e " + requestSent(""),
			`01.2 e "request":"q","message":"online: sent again; its answer is lost","error":"context canceled"`, "01.5 e " + requestEnded("served", 500)}},
		{losses.WrongInstance, []string{"01.0 e " + requestSent(""),
			`01.2 e "request":"q","message":"online: sent elsewhere; the target did not run it","why":"other_instance"`, "01.5 e " + requestEnded("served", 500)}},
		{losses.TargetFailed, []string{"01.0 e " + requestSent(""),
			`01.2 e "request":"q","message":"online: sent again after a failure","status":500`, "01.5 e " + requestEnded("served", 500)}},
	} {
		r := findLosses(t, c.lines...)
		var got losses.Cause
		if len(r.Losses) > 0 {
			got = r.Losses[0].Cause
		}
		if got != c.want || r.Requests != 1 || len(r.Losses) > 1 {
			t.Errorf("%v: got cause %q, want %q", c.lines, got, c.want)
		}
	}
}

func jobAccepted(job string) string {
	return `"job":"` + job + `","message":"jobs: job accepted","took_ms":5`
}

func itemRunEnded(why string, took int) string {
	return fmt.Sprintf(`"job":"j","item":"i","index":0,"message":"batch: item run ended","why":"%s","took_ms":%d`, why, took)
}

func resultListed(late int) string {
	return fmt.Sprintf(`"job":"j","index":0,"message":"batch: result listed","late_ms":%d`, late)
}

func TestClassifiesItemsByLargestDelay(t *testing.T) {
	for _, c := range []struct {
		want  losses.Cause
		lines []string
	}{
		{"", []string{"01.0 e " + jobAccepted("j"), "05.0 e " + itemRunEnded("complete", 4000), "05.1 e " + resultListed(-100)}},
		{losses.ResultListedLate, []string{"01.0 e " + jobAccepted("j"), "05.0 e " + itemRunEnded("complete", 4000), "20.0 e " + resultListed(1000)}},
		{losses.WaitedForFirstSeat, []string{"01.0 e " + jobAccepted("j"), "20.0 e " + itemRunEnded("complete", 4000), "20.1 e " + resultListed(1000)}},
		{losses.Preempted, []string{"01.0 e " + jobAccepted("j"), "03.0 e " + itemRunEnded("seat asked back", 2000), "20.0 e " + itemRunEnded("complete", 3000), "20.1 e " + resultListed(1000)}},
		{losses.RunFailed, []string{"01.0 e " + jobAccepted("j"), "03.0 e " + itemRunEnded("EOF", 2000), "20.0 e " + itemRunEnded("complete", 3000), "20.1 e " + resultListed(1000)}},
		{losses.RunnerLost, []string{"01.0 e " + jobAccepted("j"), "03.0 e " + itemRunEnded("seat asked back", 2000), "20.0 f " + itemRunEnded("complete", 3000), "20.1 f " + resultListed(1000)}},
		{losses.SlowRun, []string{"01.0 e " + jobAccepted("j"), "20.0 e " + itemRunEnded("complete", 18900), "20.1 e " + resultListed(1000)}},
	} {
		r := findLosses(t, c.lines...)
		var got losses.Cause
		if len(r.Losses) > 0 {
			got = r.Losses[0].Cause
		}
		if got != c.want || r.Items != 1 {
			t.Errorf("%v: got cause %q, want %q", c.lines, got, c.want)
		}
	}
}

func TestReportsLateAndRefusedJobs(t *testing.T) {
	r := findLosses(t,
		`01.0 e "job":"late","message":"jobs: job not accepted"`, "02.0 f "+jobAccepted("late"),
		`03.0 e "job":"never","message":"jobs: job not accepted"`, "04.0 e "+jobAccepted("good"))
	sums := r.ByCause()
	if r.Jobs != 3 || len(sums) != 2 || r.Losses[0].Cause != losses.JobAcceptedLate || r.Losses[1].Cause != losses.JobRefused || r.Losses[1].ID != "never" {
		t.Fatalf("%+v", r)
	}
	var out strings.Builder
	if err := r.Write(&out); err != nil || !strings.Contains(out.String(), "job refused") {
		t.Fatalf("table without the refused job:\n%s\nerror %v", out.String(), err)
	}
	if err := r.Plot(filepath.Join(t.TempDir(), "p.svg")); err != nil {
		t.Fatal(err)
	}
}

// Guards against refusals of a flood that a report leaves out because no line has their
// requests.
func TestCountedRefusals(t *testing.T) {
	r := findLosses(t, `01.0 e "message":"online: requests refused","workspace":"w","others":false,"outcome":"over_limit","count":40`,
		`02.0 e "message":"online: requests refused","workspace":"","others":true,"outcome":"over_limit","count":2`,
		`02.0 e "message":"online: requests refused","workspace":"","others":false,"outcome":"unknown_key","count":5`)
	if len(r.Losses) != 0 || r.Unlisted[losses.OverLimit] != 42 || r.Unlisted[losses.UnknownKey] != 5 {
		t.Errorf("losses %v, only counted %v", r.Losses, r.Unlisted)
	}
	var out strings.Builder
	if err := r.Write(&out); err != nil || !strings.Contains(out.String(), "over its limit, only counted  42") {
		t.Errorf("error %v, report:\n%s", err, out.String())
	}
}
