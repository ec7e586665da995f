package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/google/uuid"

	"pumiceford/apierr"
	"pumiceford/batch"
	"pumiceford/config"
	"pumiceford/httpx"
	"pumiceford/ledger"
	"pumiceford/logging"
	"pumiceford/wire"
)

// Headers of batch requests.
const (
	HeaderNewJob = "X-Pumice-New-Job" // "true" creates another job even if the content is the same
)

// Limits of batch files, jobs and their lists.
const (
	MaxFileItems       = 51000
	chunkBytes         = 256 << 10
	defaultWindow      = 24 * time.Hour
	maxWindow          = 7 * 24 * time.Hour
	resultRetention    = 3 * 24 * time.Hour // after the job's end; see docs/CAPACITY.md for the storage cost
	defaultPageSize    = 20
	maxPageSize        = 100
	resultsPageSize    = 1000
	maxMetadataEntries = 16
	maxMetadataBytes   = 512
)

func (e *Entry) routeBatch(h *server.Hertz) {
	h.POST("/v1/files", e.handleCaller(e.serveUpload))
	h.GET("/v1/files/:id", e.handleCaller(e.serveFile))
	h.GET("/v1/files/:id/content", e.handleCaller(e.serveContent))
	h.POST("/v1/batches", e.handleCaller(e.serveSubmit))
	h.GET("/v1/batches", e.handleCaller(e.serveList))
	h.GET("/v1/batches/:id", e.handleCaller(e.serveBatch))
	h.POST("/v1/batches/:id/cancel", e.handleCaller(e.serveCancel))
}

// newItemReply returns the response body of one succeeded batch item.
func (w *completionWriter) newItemReply(line *wire.ResultLine) completionReply {
	finish := "length"
	text := string(line.GetText())
	choice := completionChoice{FinishReason: &finish}
	if w.chat {
		choice.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	reply := w.newReply(false, choice)
	reply.Usage = newUsage(&wire.End{PromptTokens: line.GetPromptTokens()}, line.GetCompletionTokens())
	return reply
}

type submitBody struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// decodeSubmit parses and validates the body of a batch submission, and returns
// it with its completion window.
func decodeSubmit(data []byte) (submitBody, time.Duration, error) {
	var b submitBody
	if err := json.Unmarshal(data, &b); err != nil {
		return b, 0, apierr.New(apierr.CodeBadRequest, "body: %v", err)
	}
	if b.Endpoint != "/v1/completions" && b.Endpoint != "/v1/chat/completions" {
		return b, 0, apierr.New(apierr.CodeBadRequest, "endpoint must be /v1/completions or /v1/chat/completions")
	}
	if len(b.Metadata) > maxMetadataEntries {
		return b, 0, apierr.New(apierr.CodeBadRequest, "metadata has at most %d entries", maxMetadataEntries)
	}
	for k, v := range b.Metadata {
		if len(k) > maxMetadataBytes || len(v) > maxMetadataBytes {
			return b, 0, apierr.New(apierr.CodeBadRequest, "metadata is over %d bytes", maxMetadataBytes)
		}
	}
	window := defaultWindow
	if b.CompletionWindow != "" {
		d, err := time.ParseDuration(b.CompletionWindow)
		if err != nil || d <= 0 || d > maxWindow {
			return b, 0, apierr.New(apierr.CodeBadRequest, "completion_window must be a duration up to %s", maxWindow)
		}
		window = d
	}
	return b, window, nil
}

func (e *Entry) serveSubmit(ctx context.Context, c *app.RequestContext, ws config.Workspace) error {
	body, window, err := decodeSubmit(c.Request.Body())
	if err != nil {
		return err
	}
	req, err := newRequest(c, ws)
	if err != nil {
		return err
	}
	if string(c.GetHeader(HeaderNewJob)) == "true" && req.Key == "" {
		req.Key = uuid.NewString()
	}
	file, err := e.parseObjectRef(prefixFile, body.InputFileID)
	if err != nil {
		return err
	}
	job, ref, err := e.submit(ctx, ws, req, body, window, file)
	if err != nil {
		return err
	}
	httpx.WriteJSON(c, 200, newBatchReply(ref, job, body.InputFileID))
	return nil
}

// submit creates a job. A retry with the same key, or of the same content without
// a key, maps to the same partition and job ID, and so to the job that exists
// already.
func (e *Entry) submit(ctx context.Context, ws config.Workspace, req *Request, body submitBody, window time.Duration, file objectRef) (*wire.JobInfo, objectRef, error) {
	page, err := e.filePage(ctx, file, ws.Name, 0)
	if err != nil {
		return nil, objectRef{}, err
	}
	item, err := batch.ParseItem(page.GetLines()[0])
	if err != nil {
		return nil, objectRef{}, err
	}
	nonIdempotent := []byte(strconv.FormatBool(req.NonIdempotent))
	digest := Digest16(file.id, []byte(body.Endpoint), []byte(window.String()), nonIdempotent)
	ref := objectRef{partition: file.partition, id: Digest16([]byte("job"), []byte(ws.Name), digest)}
	if req.Key != "" {
		ref.id = Digest16([]byte("keyed job"), []byte(ws.Name), []byte(req.Key))
		ref.partition = e.partitionOf(ref.id)
		if err := e.copyFile(ctx, ws, file, ref.partition, page); err != nil {
			return nil, objectRef{}, err
		}
	}
	now := time.Now()
	reply, err := e.CallOwner(ctx, &wire.PeerRequest{Partition: ref.partition, Kind: &wire.PeerRequest_CommitJob{CommitJob: &wire.CommitJob{
		Job:           ref.id,
		Workspace:     ws.Name,
		File:          file.id,
		Model:         item.Model,
		DueUnixMs:     now.Add(window).UnixMilli(),
		NonIdempotent: req.NonIdempotent,
		CreatedUnixMs: now.UnixMilli(),
		KeepMs:        resultRetention.Milliseconds(),
		Digest:        digest,
		Endpoint:      body.Endpoint,
		Metadata:      body.Metadata,
	}}})
	if err != nil {
		return nil, objectRef{}, err
	}
	e.log.Info("job accepted", logging.F("job", prefixBatch+ref.String()), logging.F("workspace", ws.Name), logging.F("items", reply.GetJob().GetTotal()))
	return reply.GetJob(), ref, nil
}

// copyFile copies a file to the partition of a job whose key selects another
// partition than the file's content.
func (e *Entry) copyFile(ctx context.Context, ws config.Workspace, file objectRef, to uint32, page *wire.FilePage) error {
	if to == file.partition {
		return nil
	}
	lines, err := e.fileLines(ctx, file, ws.Name)
	if err != nil {
		return err
	}
	return e.putFile(ctx, objectRef{partition: to, id: file.id}, ws.Name, page.GetName(), lines, page.GetBytes())
}

func (e *Entry) job(ctx context.Context, ws config.Workspace, ref objectRef) (*wire.JobInfo, error) {
	reply, err := e.CallOwner(ctx, &wire.PeerRequest{Partition: ref.partition, Kind: &wire.PeerRequest_GetJob{GetJob: &wire.GetJob{
		Workspace: ws.Name, Job: ref.id,
	}}})
	return reply.GetJob(), err
}

type batchReply struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id"`
	ErrorFileID      string            `json:"error_file_id"`
	CreatedAt        int64             `json:"created_at"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
	Model            string            `json:"model"`
}

type requestCounts struct {
	Total     uint32 `json:"total"`
	Completed uint32 `json:"completed"`
	Failed    uint32 `json:"failed"`
}

// newBatchReply returns the JSON object of a job. If inputID is empty, the ID of the input
// file is derived from the job.
func newBatchReply(ref objectRef, j *wire.JobInfo, inputID string) batchReply {
	if inputID == "" {
		inputID = prefixFile + objectRef{partition: j.GetPartition(), id: j.GetFile()}.String()
	}
	window := time.Duration(j.GetDueUnixMs()-j.GetCreatedUnixMs()) * time.Millisecond
	out := batchReply{
		ID:               prefixBatch + ref.String(),
		Object:           "batch",
		Endpoint:         j.GetEndpoint(),
		InputFileID:      inputID,
		CompletionWindow: window.String(),
		Status:           j.GetState(),
		OutputFileID:     prefixOutput + ref.String(),
		ErrorFileID:      prefixErrors + ref.String(),
		CreatedAt:        j.GetCreatedUnixMs() / 1000,
		ExpiresAt:        j.GetDueUnixMs() / 1000,
		RequestCounts:    requestCounts{Total: j.GetTotal(), Completed: j.GetSucceeded(), Failed: j.GetFailed()},
		Metadata:         j.GetMetadata(),
		Model:            j.GetModel(),
	}
	switch j.GetState() {
	case string(batch.JobCompleted):
		out.CompletedAt = j.GetEndedUnixMs() / 1000
	case string(batch.JobCancelled), ledger.StateCancelling:
		out.CancelledAt = j.GetEndedUnixMs() / 1000
	}
	return out
}

func (e *Entry) serveBatch(ctx context.Context, c *app.RequestContext, ws config.Workspace) error {
	ref, err := e.parseObjectRef(prefixBatch, c.Param("id"))
	if err != nil {
		return err
	}
	job, err := e.job(ctx, ws, ref)
	if err != nil {
		return err
	}
	httpx.WriteJSON(c, 200, newBatchReply(ref, job, ""))
	return nil
}

func (e *Entry) serveCancel(ctx context.Context, c *app.RequestContext, ws config.Workspace) error {
	ref, err := e.parseObjectRef(prefixBatch, c.Param("id"))
	if err != nil {
		return err
	}
	reply, err := e.CallOwner(ctx, &wire.PeerRequest{Partition: ref.partition, Kind: &wire.PeerRequest_CancelJob{CancelJob: &wire.CancelJob{
		Workspace: ws.Name, Job: ref.id,
	}}})
	if err != nil {
		return err
	}
	httpx.WriteJSON(c, 200, newBatchReply(ref, reply.GetJob(), ""))
	return nil
}

type batchList struct {
	Object  string       `json:"object"`
	Data    []batchReply `json:"data"`
	FirstID string       `json:"first_id"`
	LastID  string       `json:"last_id"`
	HasMore bool         `json:"has_more"`
}

// serveList lists a workspace's jobs, newest first.
func (e *Entry) serveList(ctx context.Context, c *app.RequestContext, ws config.Workspace) error {
	limit := defaultPageSize
	if v := c.Query("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > maxPageSize {
			return apierr.New(apierr.CodeBadRequest, "limit must be 1 to %d", maxPageSize)
		}
		limit = n
	}
	var all []batchReply
	for p := uint32(0); p < e.cfg.Ledger.Partitions; p++ {
		reply, err := e.CallOwner(ctx, &wire.PeerRequest{Partition: p, Kind: &wire.PeerRequest_ListJobs{ListJobs: &wire.ListJobs{Workspace: ws.Name}}})
		if err != nil {
			return err
		}
		for _, j := range reply.GetJobs() {
			all = append(all, newBatchReply(objectRef{partition: p, id: j.GetJob()}, j, ""))
		}
	}
	slices.SortFunc(all, newestFirst)
	httpx.WriteJSON(c, 200, newBatchList(all, c.Query("after"), limit))
	return nil
}

func newestFirst(a, b batchReply) int {
	if a.CreatedAt != b.CreatedAt {
		return int(b.CreatedAt - a.CreatedAt)
	}
	return strings.Compare(a.ID, b.ID)
}

// newBatchList returns the page of at most limit jobs that follows the job with
// ID after, or the first page if there is no such job.
func newBatchList(all []batchReply, after string, limit int) batchList {
	if after != "" {
		i := slices.IndexFunc(all, func(b batchReply) bool { return b.ID == after })
		all = all[i+1:]
	}
	list := batchList{Object: "list", Data: all[:min(limit, len(all))], HasMore: len(all) > limit}
	if list.Data == nil {
		list.Data = []batchReply{}
	}
	if n := len(list.Data); n > 0 {
		list.FirstID = list.Data[0].ID
		list.LastID = list.Data[n-1].ID
	}
	return list
}
