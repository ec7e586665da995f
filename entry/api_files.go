package entry

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"pumiceford/apierr"
	"pumiceford/batch"
	"pumiceford/config"
	"pumiceford/httpx"
	"pumiceford/wire"
)

// objectRef locates a stored object by its partition and its ID within the
// partition.
type objectRef struct {
	partition uint32
	id        []byte
}

// Prefixes of the IDs in the callers' interface. The IDs of output and error files
// contain the ID of their batch.
const (
	prefixFile   = "file-"
	prefixBatch  = "batch_"
	prefixOutput = "file-out-"
	prefixErrors = "file-err-"
)

func (p objectRef) String() string {
	return fmt.Sprintf("%04x%s", p.partition, hex.EncodeToString(p.id))
}

// objectRefHexLen is the length of objectRef.String: 4 digits of the partition
// and 32 of the ID.
const objectRefHexLen = 4 + 32

// parseObjectRef parses an ID with the given prefix. A malformed ID gives
// CodeNotFound, because for the caller it is an ID that does not exist.
func (e *Entry) parseObjectRef(prefix, s string) (objectRef, error) {
	notFound := apierr.New(apierr.CodeNotFound, "no such id")
	rest, ok := strings.CutPrefix(s, prefix)
	if !ok || len(rest) != objectRefHexLen {
		return objectRef{}, notFound
	}
	number, err := strconv.ParseUint(rest[:4], 16, 32)
	if err != nil || uint32(number) >= e.cfg.Ledger.Partitions {
		return objectRef{}, notFound
	}
	id, err := hex.DecodeString(rest[4:])
	if err != nil {
		return objectRef{}, notFound
	}
	return objectRef{partition: uint32(number), id: id}, nil
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
	ref, err := e.storeFile(ctx, ws.Name, header.Filename, data)
	if err != nil {
		return err
	}
	httpx.WriteJSON(c, 200, newFileReply(prefixFile+ref.String(), uint64(len(data)), header.Filename, "batch"))
	return nil
}

// splitLines validates every line of a batch file and returns the lines that are
// not empty and their model. An error about a line contains its number, counted
// from 1.
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
	if !e.modelExists(model) {
		return nil, "", apierr.New(apierr.CodeModelNotFound, "no such model: %s", model)
	}
	return lines, model, nil
}

// storeFile stores a batch file durably in the partition that a hash of its
// workspace and content selects.
func (e *Entry) storeFile(ctx context.Context, workspace, name string, data []byte) (objectRef, error) {
	lines, _, err := e.splitLines(data)
	if err != nil {
		return objectRef{}, err
	}
	id := Digest16([]byte("file"), []byte(workspace), data)
	ref := objectRef{partition: e.partitionOf(id), id: id}
	if err := e.putFile(ctx, ref, workspace, name, lines, uint64(len(data))); err != nil {
		return objectRef{}, err
	}
	return ref, nil
}

// putFile stores lines in chunks of about chunkBytes and seals the file.
func (e *Entry) putFile(ctx context.Context, ref objectRef, workspace, name string, lines [][]byte, size uint64) error {
	var number uint32
	for rest := lines; len(rest) > 0; number++ {
		n, bytes := 0, 0
		for n < len(rest) && (n == 0 || bytes+len(rest[n]) <= chunkBytes) {
			bytes += len(rest[n])
			n++
		}
		_, err := e.CallOwner(ctx, &wire.PeerRequest{Partition: ref.partition, Kind: &wire.PeerRequest_PutChunk{PutChunk: &wire.PutChunk{
			Workspace: workspace, File: ref.id, Number: number, Lines: rest[:n],
		}}})
		if err != nil {
			return err
		}
		rest = rest[n:]
	}
	_, err := e.CallOwner(ctx, &wire.PeerRequest{Partition: ref.partition, Kind: &wire.PeerRequest_SealFile{SealFile: &wire.SealFile{
		Workspace: workspace, File: ref.id, Chunks: number, Lines: uint32(len(lines)), Bytes: size, Name: name,
	}}})
	return err
}

func (e *Entry) filePage(ctx context.Context, ref objectRef, workspace string, chunk uint32) (*wire.FilePage, error) {
	reply, err := e.CallOwner(ctx, &wire.PeerRequest{Partition: ref.partition, Kind: &wire.PeerRequest_ReadFile{ReadFile: &wire.ReadFile{
		Workspace: workspace, File: ref.id, Chunk: chunk,
	}}})
	return reply.GetFile(), err
}

func (e *Entry) serveFile(ctx context.Context, c *app.RequestContext, ws config.Workspace) error {
	id := c.Param("id")
	if strings.HasPrefix(id, prefixOutput) || strings.HasPrefix(id, prefixErrors) {
		httpx.WriteJSON(c, 200, newFileReply(id, 0, id+".jsonl", "batch_output"))
		return nil
	}
	ref, err := e.parseObjectRef(prefixFile, id)
	if err != nil {
		return err
	}
	page, err := e.filePage(ctx, ref, ws.Name, 0)
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
	ref, err := e.parseObjectRef(prefixFile, id)
	if err != nil {
		return nil, err
	}
	lines, err := e.fileLines(ctx, ref, ws.Name)
	if err != nil {
		return nil, err
	}
	return append(bytes.Join(lines, []byte("\n")), '\n'), nil
}

func (e *Entry) fileLines(ctx context.Context, ref objectRef, workspace string) ([][]byte, error) {
	var lines [][]byte
	for n := uint32(0); ; n++ {
		page, err := e.filePage(ctx, ref, workspace, n)
		if err != nil {
			return nil, err
		}
		lines = append(lines, page.GetLines()...)
		if n+1 >= page.GetChunks() {
			return lines, nil
		}
	}
}

// batchLine is the JSON of one line of an output or error file.
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

// resultsFile returns an output file, which has the succeeded items of a job, or
// an error file, which has the others. The items are in the order of the input
// file. The files can be read while the job runs.
func (e *Entry) resultsFile(ctx context.Context, ws config.Workspace, prefix, id string) ([]byte, error) {
	ref, err := e.parseObjectRef(prefix, id)
	if err != nil {
		return nil, err
	}
	job, err := e.job(ctx, ws, ref)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	for from := uint32(0); ; {
		reply, err := e.CallOwner(ctx, &wire.PeerRequest{Partition: ref.partition, Kind: &wire.PeerRequest_ReadResults{ReadResults: &wire.ReadResults{
			Workspace: ws.Name, Job: ref.id, From: from, Limit: resultsPageSize,
		}}})
		if err != nil {
			return nil, err
		}
		for _, line := range reply.GetResults().GetLines() {
			if (line.GetState() == "succeeded") == (prefix == prefixOutput) {
				writeBatchLine(&out, ref, job, line)
			}
		}
		if !reply.GetResults().GetMore() {
			return out.Bytes(), nil
		}
		from = reply.GetResults().GetNext()
	}
}

func writeBatchLine(out *bytes.Buffer, ref objectRef, job *wire.JobInfo, line *wire.ResultLine) {
	id := fmt.Sprintf("%s-%d", ref, line.GetIndex())
	l := batchLine{ID: "batch_req_" + id, CustomID: line.GetCustomId()}
	if line.GetState() == "succeeded" {
		w := &completionWriter{chat: strings.Contains(job.GetEndpoint(), "chat"), model: job.GetModel(), id: id}
		l.Response = &batchResponse{StatusCode: 200, RequestID: id, Body: w.newItemReply(line)}
	} else {
		l.Error = &batchError{Code: line.GetState(), Message: line.GetReason()}
	}
	// Marshal cannot fail here: it replaces invalid UTF-8 in strings.
	data, _ := json.Marshal(l)
	out.Write(data)
	out.WriteByte('\n')
}
