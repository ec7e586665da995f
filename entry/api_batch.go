package entry

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
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
	"pumiceford/wire"
)

// Headers of batch requests.
const (
	HeaderNewJob = "X-Pumice-New-Job" // "true": the same content is meant as another job
)

// Bounds of batch files.
const (
	MaxFileItems   = 51000
	chunkBytes     = 256 << 10
	defaultWindow  = 24 * time.Hour
	maxWindow      = 7 * 24 * time.Hour
	resultsKeep    = 3 * 24 * time.Hour // after the job's end; docs/CAPACITY.md has the cost
	defaultPage    = 20
	maxPage        = 100
	resultsPage    = 1000
	maxMetadata    = 16
	maxMetadataLen = 512
)

func (e *Entry) routeBatch(h *server.Hertz) {
	h.POST("/v1/files", e.caller(e.serveUpload))
	h.GET("/v1/files/:id", e.caller(e.serveFile))
	h.GET("/v1/files/:id/content", e.caller(e.serveContent))
	h.POST("/v1/batches", e.caller(e.serveSubmit))
	h.GET("/v1/batches", e.caller(e.serveList))
	h.GET("/v1/batches/:id", e.caller(e.serveBatch))
	h.POST("/v1/batches/:id/cancel", e.caller(e.serveCancel))
}

// place is where an object lives: its partition and its id there.
type place struct {
	partition uint32
	id        []byte
}

// Prefixes of ids that callers see. Output and error files are named after
// their batch.
const (
	prefixFile   = "file-"
	prefixBatch  = "batch_"
	prefixOutput = "file-out-"
	prefixErrors = "file-err-"
)

func (p place) String() string {
	return fmt.Sprintf("%04x%s", p.partition, hex.EncodeToString(p.id))
}

const placeHexLen = 4 + 32

// parsePlace reads an id. A malformed one is not found rather than bad: to the
// caller it is just an id that does not exist.
func (e *Entry) parsePlace(prefix, s string) (place, error) {
	missing := apierr.New(apierr.CodeNotFound, "no such id")
	rest, ok := strings.CutPrefix(s, prefix)
	if !ok || len(rest) != placeHexLen {
		return place{}, missing
	}
	number, err := strconv.ParseUint(rest[:4], 16, 32)
	if err != nil || uint32(number) >= e.cfg.Ledger.Partitions {
		return place{}, missing
	}
	id, err := hex.DecodeString(rest[4:])
	if err != nil {
		return place{}, missing
	}
	return place{partition: uint32(number), id: id}, nil
}

type fileReply struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     uint64 `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func newFileReply(id string, size uint64, name, purpose string) fileReply {
	return fileReply{ID: id, Object: "file", Bytes: size, CreatedAt: time.Now().Unix(), Filename: name, Purpose: purpose, Status: "processed"}
}

func (e *Entry) serveUpload(ctx context.Context, c *app.RequestContext, ws config.Workspace) error {
	if p := string(c.FormValue("purpose")); p != "batch" {
		return apierr.New(apierr.CodeBadRequest, "purpose must be \"batch\"")
	}
	header, err := c.FormFile("file")
	if err != nil {
		return apierr.New(apierr.CodeBadRequest, "file: %v", err)
	}
	src, err := header.Open()
	if err != nil {
		return apierr.New(apierr.CodeBadRequest, "file: %v", err)
	}
	defer func() { _ = src.Close() }()
	data, err := io.ReadAll(src)
	if err != nil {
		return apierr.New(apierr.CodeBadRequest, "file: %v", err)
	}
	at, err := e.storeFile(ctx, ws.Name, header.Filename, data)
	if err != nil {
		return err
	}
	httpx.WriteJSON(c, 200, newFileReply(prefixFile+at.String(), uint64(len(data)), header.Filename, "batch"))
	return nil
}

// splitLines checks every line of a batch file. A failure names the line.
func (e *Entry) splitLines(data []byte) ([][]byte, string, error) {
	var lines [][]byte
	seen := make(map[string]bool)
	model := ""
	for n, line := range bytes.Split(data, []byte("\n")) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		item, err := batch.ParseItem(line)
		if err != nil {
			fail := *apierr.From(err)
			fail.Message = fmt.Sprintf("line %d: %s", n+1, fail.Message)
			return nil, "", &fail
		}
		if seen[item.CustomID] {
			return nil, "", apierr.New(apierr.CodeBadRequest, "line %d: custom_id %q is there twice", n+1, item.CustomID)
		}
		seen[item.CustomID] = true
		if model == "" {
			model = item.Model
		}
		if item.Model != model {
			return nil, "", apierr.New(apierr.CodeBadRequest, "line %d: all lines must name the same model", n+1)
		}
		lines = append(lines, line)
		if len(lines) > MaxFileItems {
			return nil, "", apierr.New(apierr.CodeTooLarge, "a file holds at most %d items", MaxFileItems)
		}
	}
	if len(lines) == 0 {
		return nil, "", apierr.New(apierr.CodeBadRequest, "the file is empty")
	}
	if !e.knowsModel(model) {
		return nil, "", apierr.New(apierr.CodeUnknownModel, "no such model: %s", model)
	}
	return lines, model, nil
}

// storeFile makes a file durable in the partition that its content names.
func (e *Entry) storeFile(ctx context.Context, workspace, name string, data []byte) (place, error) {
	lines, _, err := e.splitLines(data)
	if err != nil {
		return place{}, err
	}
	id := Digest16([]byte("file"), []byte(workspace), data)
	at := place{partition: e.partitionOf(id), id: id}
	if err := e.putLines(ctx, at, workspace, name, lines, uint64(len(data))); err != nil {
		return place{}, err
	}
	return at, nil
}

func (e *Entry) putLines(ctx context.Context, at place, workspace, name string, lines [][]byte, size uint64) error {
	var number uint32
	for rest := lines; len(rest) > 0; number++ {
		n, bytes := 0, 0
		for n < len(rest) && (n == 0 || bytes+len(rest[n]) <= chunkBytes) {
			bytes += len(rest[n])
			n++
		}
		_, err := e.Ask(ctx, &wire.PeerRequest{Partition: at.partition, Kind: &wire.PeerRequest_PutChunk{PutChunk: &wire.PutChunk{
			Workspace: workspace, File: at.id, Number: number, Lines: rest[:n],
		}}})
		if err != nil {
			return err
		}
		rest = rest[n:]
	}
	_, err := e.Ask(ctx, &wire.PeerRequest{Partition: at.partition, Kind: &wire.PeerRequest_SealFile{SealFile: &wire.SealFile{
		Workspace: workspace, File: at.id, Chunks: number, Lines: uint32(len(lines)), Bytes: size, Name: name,
	}}})
	return err
}

func (e *Entry) filePage(ctx context.Context, at place, workspace string, chunk uint32) (*wire.FilePage, error) {
	reply, err := e.Ask(ctx, &wire.PeerRequest{Partition: at.partition, Kind: &wire.PeerRequest_ReadFile{ReadFile: &wire.ReadFile{
		Workspace: workspace, File: at.id, Chunk: chunk,
	}}})
	return reply.GetFile(), err
}

func (e *Entry) serveFile(ctx context.Context, c *app.RequestContext, ws config.Workspace) error {
	id := c.Param("id")
	if strings.HasPrefix(id, prefixOutput) || strings.HasPrefix(id, prefixErrors) {
		httpx.WriteJSON(c, 200, newFileReply(id, 0, id+".jsonl", "batch_output"))
		return nil
	}
	at, err := e.parsePlace(prefixFile, id)
	if err != nil {
		return err
	}
	page, err := e.filePage(ctx, at, ws.Name, 0)
	if err != nil {
		return err
	}
	httpx.WriteJSON(c, 200, newFileReply(id, page.GetBytes(), page.GetName(), "batch"))
	return nil
}

func (e *Entry) serveContent(ctx context.Context, c *app.RequestContext, ws config.Workspace) error {
	id := c.Param("id")
	var body []byte
	var err error
	switch {
	case strings.HasPrefix(id, prefixOutput):
		body, err = e.resultsFile(ctx, ws, prefixOutput, id)
	case strings.HasPrefix(id, prefixErrors):
		body, err = e.resultsFile(ctx, ws, prefixErrors, id)
	default:
		body, err = e.inputFile(ctx, ws, id)
	}
	if err != nil {
		return err
	}
	c.Data(200, "application/jsonl", body)
	return nil
}

func (e *Entry) inputFile(ctx context.Context, ws config.Workspace, id string) ([]byte, error) {
	at, err := e.parsePlace(prefixFile, id)
	if err != nil {
		return nil, err
	}
	lines, err := e.fileLines(ctx, at, ws.Name)
	if err != nil {
		return nil, err
	}
	return append(bytes.Join(lines, []byte("\n")), '\n'), nil
}

func (e *Entry) fileLines(ctx context.Context, at place, workspace string) ([][]byte, error) {
	var lines [][]byte
	for n := uint32(0); ; n++ {
		page, err := e.filePage(ctx, at, workspace, n)
		if err != nil {
			return nil, err
		}
		lines = append(lines, page.GetLines()...)
		if n+1 >= page.GetChunks() {
			return lines, nil
		}
	}
}

// batchLine is one line of an output or error file.
type batchLine struct {
	ID       string         `json:"id"`
	CustomID string         `json:"custom_id"`
	Response *batchResponse `json:"response"`
	Error    *batchError    `json:"error"`
}

type batchResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       completionReply `json:"body"`
}

type batchError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// resultsFile writes the succeeded or the other items of a job, in the caller's
// order. It can be read while the job runs.
func (e *Entry) resultsFile(ctx context.Context, ws config.Workspace, prefix, id string) ([]byte, error) {
	at, err := e.parsePlace(prefix, id)
	if err != nil {
		return nil, err
	}
	job, err := e.job(ctx, ws, at)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	for from := uint32(0); ; {
		reply, err := e.Ask(ctx, &wire.PeerRequest{Partition: at.partition, Kind: &wire.PeerRequest_ReadResults{ReadResults: &wire.ReadResults{
			Workspace: ws.Name, Job: at.id, From: from, Limit: resultsPage,
		}}})
		if err != nil {
			return nil, err
		}
		for _, line := range reply.GetResults().GetLines() {
			if (line.GetState() == "succeeded") == (prefix == prefixOutput) {
				writeLine(&out, at, job, line)
			}
		}
		if !reply.GetResults().GetMore() {
			return out.Bytes(), nil
		}
		from = reply.GetResults().GetNext()
	}
}

func writeLine(out *bytes.Buffer, at place, job *wire.JobInfo, line *wire.ResultLine) {
	id := fmt.Sprintf("%s-%d", at, line.GetIndex())
	l := batchLine{ID: "batch_req_" + id, CustomID: line.GetCustomId()}
	if line.GetState() == "succeeded" {
		w := &completionWriter{chat: strings.Contains(job.GetEndpoint(), "chat"), model: job.GetModel(), id: id}
		l.Response = &batchResponse{StatusCode: 200, RequestID: id, Body: w.batchReply(line)}
	} else {
		l.Error = &batchError{Code: line.GetState(), Message: line.GetReason()}
	}
	// Strings in results are UTF-8 or are replaced by the encoder; it cannot fail.
	data, _ := json.Marshal(l)
	out.Write(data)
	out.WriteByte('\n')
}

func (w *completionWriter) batchReply(line *wire.ResultLine) completionReply {
	finish := "length"
	text := string(line.GetText())
	choice := completionChoice{FinishReason: &finish}
	if w.chat {
		choice.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	reply := w.reply(false, choice)
	reply.Usage = usageOf(&wire.End{PromptTokens: line.GetPromptTokens()}, line.GetCompletionTokens())
	return reply
}

type submitBody struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

func decodeSubmit(data []byte) (submitBody, time.Duration, error) {
	var b submitBody
	if err := json.Unmarshal(data, &b); err != nil {
		return b, 0, apierr.New(apierr.CodeBadRequest, "body: %v", err)
	}
	if b.Endpoint != "/v1/completions" && b.Endpoint != "/v1/chat/completions" {
		return b, 0, apierr.New(apierr.CodeBadRequest, "endpoint must be /v1/completions or /v1/chat/completions")
	}
	if len(b.Metadata) > maxMetadata {
		return b, 0, apierr.New(apierr.CodeBadRequest, "metadata has at most %d entries", maxMetadata)
	}
	for k, v := range b.Metadata {
		if len(k) > maxMetadataLen || len(v) > maxMetadataLen {
			return b, 0, apierr.New(apierr.CodeBadRequest, "metadata is over %d bytes", maxMetadataLen)
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
	file, err := e.parsePlace(prefixFile, body.InputFileID)
	if err != nil {
		return err
	}
	job, at, err := e.submit(ctx, ws, req, body, window, file)
	if err != nil {
		return err
	}
	httpx.WriteJSON(c, 200, batchObject(at, job, body.InputFileID))
	return nil
}

// submit accepts a job. A resend with the same key, or of the same content
// without a key, meets the same partition and so the same job.
func (e *Entry) submit(ctx context.Context, ws config.Workspace, req *Request, body submitBody, window time.Duration, file place) (*wire.JobInfo, place, error) {
	page, err := e.filePage(ctx, file, ws.Name, 0)
	if err != nil {
		return nil, place{}, err
	}
	item, err := batch.ParseItem(page.GetLines()[0])
	if err != nil {
		return nil, place{}, err
	}
	mark := []byte(strconv.FormatBool(req.NonIdempotent))
	digest := Digest16(file.id, []byte(body.Endpoint), []byte(window.String()), mark)
	at := place{partition: file.partition, id: Digest16([]byte("job"), []byte(ws.Name), digest)}
	if req.Key != "" {
		at.id = Digest16([]byte("keyed job"), []byte(ws.Name), []byte(req.Key))
		at.partition = e.partitionOf(at.id)
		if err := e.copyFile(ctx, ws, file, at.partition, page); err != nil {
			return nil, place{}, err
		}
	}
	now := time.Now()
	reply, err := e.Ask(ctx, &wire.PeerRequest{Partition: at.partition, Kind: &wire.PeerRequest_CommitJob{CommitJob: &wire.CommitJob{
		Job:           at.id,
		Workspace:     ws.Name,
		File:          file.id,
		Model:         item.Model,
		DueUnixMs:     now.Add(window).UnixMilli(),
		NonIdempotent: req.NonIdempotent,
		CreatedUnixMs: now.UnixMilli(),
		KeepMs:        resultsKeep.Milliseconds(),
		Digest:        digest,
		Endpoint:      body.Endpoint,
		Metadata:      body.Metadata,
	}}})
	if err != nil {
		return nil, place{}, err
	}
	return reply.GetJob(), at, nil
}

// copyFile puts a file into the partition of a job that its key sends there.
func (e *Entry) copyFile(ctx context.Context, ws config.Workspace, file place, to uint32, page *wire.FilePage) error {
	if to == file.partition {
		return nil
	}
	lines, err := e.fileLines(ctx, file, ws.Name)
	if err != nil {
		return err
	}
	return e.putLines(ctx, place{partition: to, id: file.id}, ws.Name, page.GetName(), lines, page.GetBytes())
}

func (e *Entry) job(ctx context.Context, ws config.Workspace, at place) (*wire.JobInfo, error) {
	reply, err := e.Ask(ctx, &wire.PeerRequest{Partition: at.partition, Kind: &wire.PeerRequest_GetJob{GetJob: &wire.GetJob{
		Workspace: ws.Name, Job: at.id,
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

func batchObject(at place, j *wire.JobInfo, inputID string) batchReply {
	if inputID == "" {
		inputID = prefixFile + place{partition: j.GetPartition(), id: j.GetFile()}.String()
	}
	window := time.Duration(j.GetDueUnixMs()-j.GetCreatedUnixMs()) * time.Millisecond
	out := batchReply{
		ID:               prefixBatch + at.String(),
		Object:           "batch",
		Endpoint:         j.GetEndpoint(),
		InputFileID:      inputID,
		CompletionWindow: window.String(),
		Status:           j.GetState(),
		OutputFileID:     prefixOutput + at.String(),
		ErrorFileID:      prefixErrors + at.String(),
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
	at, err := e.parsePlace(prefixBatch, c.Param("id"))
	if err != nil {
		return err
	}
	job, err := e.job(ctx, ws, at)
	if err != nil {
		return err
	}
	httpx.WriteJSON(c, 200, batchObject(at, job, ""))
	return nil
}

func (e *Entry) serveCancel(ctx context.Context, c *app.RequestContext, ws config.Workspace) error {
	at, err := e.parsePlace(prefixBatch, c.Param("id"))
	if err != nil {
		return err
	}
	reply, err := e.Ask(ctx, &wire.PeerRequest{Partition: at.partition, Kind: &wire.PeerRequest_CancelJob{CancelJob: &wire.CancelJob{
		Workspace: ws.Name, Job: at.id,
	}}})
	if err != nil {
		return err
	}
	httpx.WriteJSON(c, 200, batchObject(at, reply.GetJob(), ""))
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
	limit := defaultPage
	if v := c.Query("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > maxPage {
			return apierr.New(apierr.CodeBadRequest, "limit must be 1 to %d", maxPage)
		}
		limit = n
	}
	var all []batchReply
	for p := uint32(0); p < e.cfg.Ledger.Partitions; p++ {
		reply, err := e.Ask(ctx, &wire.PeerRequest{Partition: p, Kind: &wire.PeerRequest_ListJobs{ListJobs: &wire.ListJobs{Workspace: ws.Name}}})
		if err != nil {
			return err
		}
		for _, j := range reply.GetJobs() {
			all = append(all, batchObject(place{partition: p, id: j.GetJob()}, j, ""))
		}
	}
	slices.SortFunc(all, newestFirst)
	httpx.WriteJSON(c, 200, pageOf(all, c.Query("after"), limit))
	return nil
}

func newestFirst(a, b batchReply) int {
	if a.CreatedAt != b.CreatedAt {
		return int(b.CreatedAt - a.CreatedAt)
	}
	return strings.Compare(a.ID, b.ID)
}

func pageOf(all []batchReply, after string, limit int) batchList {
	if after != "" {
		at := slices.IndexFunc(all, func(b batchReply) bool { return b.ID == after })
		all = all[at+1:]
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
