package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/platform"
	"pumiceford/platform/platformtest"
	"pumiceford/standin/sharedstore"
	"pumiceford/store"
)

// Figures of the case.
const (
	deadItems     = 24
	deadEvents    = 60
	deadPause     = 60 * time.Millisecond
	greyFor       = 2 * time.Second         // one of seven targets fails two in five of its requests
	greyShare     = 2                       // of greyOf
	greyOf        = 5                       // srv_grey: x 0.4
	partDownAfter = 1500 * time.Millisecond // after the job was accepted
	killAfter     = 500 * time.Millisecond  // after that
	restartAfter  = 300 * time.Millisecond
	partDownFor   = 4 * time.Second // platform_down: for_s 4.5 at most
	itemAttempts  = 3
)

// result is one result of a batch job.
type result struct {
	ID    string `json:"Id"`
	State string
	Text  string
}

// setFirstPartitions sets the fault of partition 0 of each topic.
func (f *fleet) setFirstPartitions(fault sharedstore.Fault) {
	for _, topic := range []string{
		platformtest.ConfigPartition.Topic, platformtest.RegistryPartition.Topic,
		platform.JobsTopic, platform.ProgressTopic, platform.CopiesTopic, platform.QuarantineTopic, platform.ShardsTopic,
	} {
		f.store.InMemory.SetPartitionFault(store.Partition{Topic: topic}, fault)
	}
}

// playDead kills all entries while the store is partly down, with the configuration.
func playDead(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 2, 7, 8, deadEvents, deadPause)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	grey := newGreyTarget(rec)
	f.hosts[0].target.SetFaults(grey.fault)
	const job = "7c41e09b52d6a3f8"
	if err := submit(rec, f.entries[0].callers, job, deadItems); err != nil {
		return false, err
	}
	accepted := time.Now()
	time.Sleep(partDownAfter)
	if trouble {
		rec.logf("the store gives no more answers for partition 0 of each topic")
		f.setFirstPartitions(sharedstore.NoResponse)
	}
	time.Sleep(killAfter)
	if trouble {
		for _, e := range f.entries {
			rec.logf("SIGKILL to %s", e.name)
			e.kill()
		}
		time.Sleep(restartAfter)
		for n, e := range f.entries {
			if err := f.restart(e); err != nil {
				return false, err
			}
			rec.logf("entry-%d started again", n+1)
		}
	}
	time.Sleep(partDownFor - killAfter - restartAfter)
	f.setFirstPartitions(sharedstore.NoFault)
	rec.logf("the store serves all partitions")
	results, err := awaitResults(rec, f, job, deadItems, accepted.Add(finishS+graceS))
	if err != nil {
		return false, err
	}
	wrong := 0
	for _, r := range results {
		failures := grey.failures(r.ID)
		if failures > 0 || r.State != "complete" {
			rec.logf("item %s: %s after %d answers of 500", r.ID, r.State, failures)
		}
		if r.State == "dead" && failures < itemAttempts && time.Since(accepted) < 60*time.Second {
			wrong++
			rec.logf("MIXED: item %s is dead before a 422, %d answers of 500, %s, the end of its job or of its route", r.ID, itemAttempts, names.Retention)
		}
	}
	return wrong > 0, nil
}

// greyTarget fails some requests of one target for a while.
type greyTarget struct {
	rec   *record
	until time.Time

	mu     sync.Mutex
	seen   int
	failed map[string]int // answers of 500 by request
}

func newGreyTarget(rec *record) *greyTarget {
	return &greyTarget{rec: rec, until: time.Now().Add(greyFor), failed: make(map[string]int)}
}

func (g *greyTarget) fault(id string, _ int) platformtest.Fault {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen++
	if time.Now().After(g.until) || g.seen%greyOf >= greyShare {
		return platformtest.NoFault
	}
	g.failed[id]++
	g.rec.logf("target answers %s with 500", id)
	return platformtest.InternalError
}

func (g *greyTarget) failures(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failed[id]
}

var errNotAccepted = errors.New("job not accepted")

// submit sends a batch job until it is accepted.
func submit(rec *record, addr, job string, items int) error {
	type item struct {
		ID      string `json:"Id"`
		Path    string
		Headers map[string]string
		Body    string
		Tokens  int
	}
	var all struct{ Items []item }
	for n := range items {
		all.Items = append(all.Items, item{
			ID: fmt.Sprintf("%s%02d", job, n), Path: "/jobs/3/91c4",
			Headers: itemHeaders(n),
			Body:    base64.StdEncoding.EncodeToString([]byte("logbook")), Tokens: 750,
		})
	}
	body, err := json.Marshal(all)
	if err != nil {
		return err
	}
	for range 3 {
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/jobs/7c41e0", bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Host, req.Close = virtualHost, true
		req.Header.Set(names.RequestID, job)
		req.Header.Set("Content-Type", "application/json")
		status, _, err := do(req)
		rec.logf("job %s of %d items sent: status %d, error %v", job, items, status, err)
		if status == http.StatusAccepted {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return errNotAccepted
}

// itemHeaders returns the headers of item n.
func itemHeaders(n int) map[string]string {
	out := make(map[string]string, len(names.ItemHeaders))
	for name, value := range names.ItemHeaders {
		if strings.Contains(value, "%") {
			value = fmt.Sprintf(value, n)
		}
		out[name] = value
	}
	return out
}

// do sends a request and returns the status and the body of its response.
func do(req *http.Request) (int, []byte, error) {
	client := &http.Client{Timeout: 4 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// awaitResults reads a job's results at the entries in turn until all are listed.
func awaitResults(rec *record, f *fleet, job string, items int, until time.Time) ([]result, error) {
	var all []result
	for n := 0; time.Now().Before(until); n++ {
		e := f.entries[n%len(f.entries)]
		req, err := http.NewRequest(http.MethodGet, "http://"+e.callers+fmt.Sprintf(names.ResultsPath, job, len(all)), nil)
		if err != nil {
			return nil, err
		}
		req.Host, req.Close = virtualHost, true
		status, data, err := do(req)
		var reply struct {
			Results []result
		}
		if err != nil || status != http.StatusOK || json.Unmarshal(data, &reply) != nil {
			rec.logf("read at %s: status %d, error %v", e.name, status, err)
		}
		all = append(all, reply.Results...)
		if len(all) >= items {
			rec.logf("all %d results are listed", len(all))
			return all, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	rec.logf("%d of %d results are listed", len(all), items)
	return all, nil
}
