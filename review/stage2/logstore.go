package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/standin/sharedstore"
	"pumiceford/store"
)

// Limits of the platform's store.
const (
	defaultReadKB  = 1024
	maxNewestBytes = 1 << 20
	callTime       = 4 * time.Millisecond
	appendTime     = time.Millisecond
	partMBPerS     = 20
)

// logStore is a stand-in of the platform's store. It keeps records and groups as
// sharedstore does, and bounds its answers and the rate of a partition as the pages tell.
type logStore struct {
	InMemory *sharedstore.Store
	http     *httptest.Server

	mu   sync.Mutex
	busy map[store.Partition]time.Time // until when a partition is appending
}

func newLogStore(parts int) *logStore {
	s := &logStore{InMemory: sharedstore.New(parts), busy: make(map[store.Partition]time.Time)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names.Append, s.append)
	mux.HandleFunc("GET "+names.Read, s.read)
	mux.HandleFunc("GET "+names.Newest, s.newest)
	mux.HandleFunc("POST "+names.Join, s.join)
	mux.HandleFunc("POST "+names.Leave, s.leave)
	mux.HandleFunc("GET "+names.Owners, s.owners)
	s.http = httptest.NewServer(mux)
	return s
}

// Addr returns the address as host:port.
func (s *logStore) Addr() string { return s.http.Listener.Addr().String() }

// Close cuts all connections and stops the store.
func (s *logStore) Close() {
	s.http.CloseClientConnections()
	s.http.Close()
}

func (s *logStore) client(r *http.Request) *sharedstore.HostClient {
	time.Sleep(callTime)
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return s.InMemory.ClientFor(host)
}

func partitionOf(r *http.Request) store.Partition {
	n, _ := strconv.Atoi(r.URL.Query().Get("part")) // 0 if the parameter is absent
	return store.Partition{Topic: r.URL.Query().Get("Topic"), Number: n}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}

// fail responds to a failed call. Without a response, the connection is cut.
func fail(w http.ResponseWriter, err error) {
	var conflict *store.ConflictError
	var trimmed *store.TrimmedError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"End": conflict.End})
	case errors.As(err, &trimmed):
		writeJSON(w, http.StatusGone, map[string]any{"First": trimmed.First})
	case errors.Is(err, store.ErrRefused):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}

// await waits until a partition has appended the given bytes.
func (s *logStore) await(p store.Partition, bytes int) {
	took := appendTime + time.Duration(bytes)*time.Second/(partMBPerS<<20)
	s.mu.Lock()
	from := time.Now()
	if s.busy[p].After(from) {
		from = s.busy[p]
	}
	s.busy[p] = from.Add(took)
	s.mu.Unlock()
	time.Sleep(time.Until(from.Add(took)))
}

func (s *logStore) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	at := store.AnyEnd
	if v := r.URL.Query().Get("At"); v != "" {
		at, _ = strconv.ParseInt(v, 10, 64) // the programs send numbers
	}
	var recs []store.Record
	for data := body; len(data) >= 5; {
		n := binary.BigEndian.Uint32(data)
		rec := data[4 : 4+n]
		k := int(rec[0])
		recs = append(recs, store.Record{Key: string(rec[1 : 1+k]), Value: rec[1+k:]})
		data = data[4+n:]
	}
	p := partitionOf(r)
	s.await(p, len(body))
	end, err := s.client(r).Append(r.Context(), p, recs, at)
	if err != nil {
		fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"Offset": end - int64(len(recs)), "End": end})
}

func (s *logStore) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("From"), 10, 64) // the programs send numbers
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	limit, err := strconv.Atoi(r.URL.Query().Get("MaxKb"))
	if err != nil {
		limit = defaultReadKB
	}
	page, err := s.client(r).Read(r.Context(), partitionOf(r), from, time.Duration(wait)*time.Millisecond)
	if err != nil {
		fail(w, err)
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(page.End))
	out = binary.BigEndian.AppendUint64(out, uint64(page.First))
	for i, rec := range page.Records {
		if i > 0 && len(out)+len(rec.Key)+len(rec.Value) > limit<<10 {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.Key)+len(rec.Value)))
		out = append(append(append(out, byte(len(rec.Key))), rec.Key...), rec.Value...)
	}
	_, _ = w.Write(out) // fails only if the caller has disconnected
}

func (s *logStore) newest(w http.ResponseWriter, r *http.Request) {
	snap, err := s.client(r).Newest(r.Context(), partitionOf(r), r.URL.Query().Get("After"))
	if err != nil {
		fail(w, err)
		return
	}
	items := []map[string]any{}
	bytes := 0
	for _, rec := range snap.Records {
		bytes += len(rec.Key) + len(rec.Value)
		if len(items) > 0 && bytes > maxNewestBytes {
			snap.More = true
			break
		}
		items = append(items, map[string]any{"Key": rec.Key, "Value": base64.StdEncoding.EncodeToString(rec.Value), "Offset": rec.Offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"Items": items, "More": snap.More, "End": snap.End})
}

func (s *logStore) join(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group      string `json:"group"`
		Member     string
		Topics     []string
		TTLMs      int64 `json:"TtlMs"`
		Generation uint64
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m, err := s.client(r).Join(r.Context(), store.JoinRequest{
		Group: body.Group, Member: body.Member, Topics: body.Topics, TTL: time.Duration(body.TTLMs) * time.Millisecond, Generation: body.Generation,
	})
	if err != nil {
		fail(w, err)
		return
	}
	rows := [][]any{}
	for _, p := range m.Partitions {
		rows = append(rows, []any{p.Topic, p.Number, 0})
	}
	writeJSON(w, http.StatusOK, map[string]any{"Generation": m.Generation, "parts": rows})
}

func (s *logStore) leave(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group  string `json:"group"`
		Member string
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := s.client(r).Leave(r.Context(), body.Group, body.Member); err != nil {
		fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *logStore) owners(w http.ResponseWriter, r *http.Request) {
	all, err := s.client(r).Owners(r.Context(), r.URL.Query().Get("group"))
	if err != nil {
		fail(w, err)
		return
	}
	rows := [][]any{}
	for _, o := range all {
		rows = append(rows, []any{o.Partition.Topic, o.Partition.Number, o.Member, 0})
	}
	writeJSON(w, http.StatusOK, map[string]any{"parts": rows})
}
