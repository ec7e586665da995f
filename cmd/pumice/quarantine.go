package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/daemon"
	"pumiceford/quarantine"
)

// processCallTimeout bounds one call to a process's metrics address.
const processCallTimeout = 10 * time.Second

type quarantineCmd struct {
	Metrics string `arg:"--metrics,required" help:"metrics address of any entry or agent, host:port"`
	Clear   string `arg:"--clear" help:"key of the request to release from quarantine on all processes"`
	JSON    bool   `arg:"--json"`
}

// errMetricsAddress is returned when a process responds at its metrics address with an error
// status.
var errMetricsAddress = errors.New("error response from the process's metrics address")

// runQuarantine lists the requests that are in quarantine or suspected of crashing targets,
// or clears one of them.
func runQuarantine(ctx context.Context, cmd *quarantineCmd) error {
	ctx, cancel := context.WithTimeout(ctx, processCallTimeout)
	defer cancel()
	url := "http://" + cmd.Metrics + "/quarantine"
	if cmd.Clear != "" {
		key, err := quarantine.ParseKey(cmd.Clear)
		if err != nil {
			return err
		}
		return callProcess(ctx, http.MethodDelete, url+"/"+key.String(), nil)
	}
	var all []daemon.SuspectRequest
	if err := callProcess(ctx, http.MethodGet, url, &all); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(all)
	}
	return printTable("KEY\tPART\tHELD\tUNTIL\tCRASHED", func(w *tabwriter.Writer) {
		for _, r := range all {
			printRow(w, r.Key, r.Part, r.Held, r.Until.Format(time.RFC3339), strings.Join(r.Crashed, " "))
		}
	})
}

// callProcess makes one HTTP call and decodes the JSON response into reply, unless reply is
// nil.
func callProcess(ctx context.Context, method, url string, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // the response was already read as far as needed
	switch {
	case resp.StatusCode == http.StatusNotFound && method == http.MethodDelete:
		return errors.Wrap(errMetricsAddress, "no crashes are recorded against this request")
	case resp.StatusCode >= http.StatusMultipleChoices:
		return errors.Wrap(errMetricsAddress, fmt.Sprint(resp.Status))
	case reply == nil:
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(reply)
}
