package entry

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"pumiceford/agent"
	"pumiceford/apierr"
	"pumiceford/online"
	"pumiceford/routing"
	"pumiceford/wire"
)

// Digest16 hashes parts to 16 bytes. Each part is preceded by its length, so
// that different parts never join to the same bytes.
func Digest16(parts ...[]byte) []byte {
	lo, hi := xxhash.New(), xxhash.NewWithSeed(highHalfSeed)
	for _, p := range parts {
		size := binary.BigEndian.AppendUint64(nil, uint64(len(p)))
		// Hashes in memory take every write.
		_, _ = lo.Write(size)
		_, _ = lo.Write(p)
		_, _ = hi.Write(size)
		_, _ = hi.Write(p)
	}
	return hi.Sum(lo.Sum(nil))
}

// highHalfSeed makes the second half of a digest independent of the first.
const highHalfSeed = 0x70756d69

// partitionOf returns the partition of an id.
func (e *Entry) partitionOf(id []byte) uint32 {
	return uint32(xxhash.Sum64(id) % uint64(e.cfg.Ledger.Partitions))
}

// keyRetention is how long a key is remembered. It outlives every deadline.
const keyRetention = 24 * time.Hour

// runKeyed runs a non-idempotent request at most once for its key, whichever entry
// the caller's resends go through. The start is on the log before the request
// goes to an agent; the record that comes first in the log decides which request
// owns the key. Without the log the request is refused, not run.
func (r *dispatch) runKeyed(ctx context.Context) (*wire.End, error) {
	choice, ok := r.pickAgent()
	if !ok {
		return nil, withUnknownOutcome(r.noTargetError())
	}
	reply, err := r.recordKey(ctx, choice)
	if err != nil {
		r.recordEnd(choice.Name, nil)
		return nil, err
	}
	if !reply.GetFirst() {
		r.recordEnd(choice.Name, nil)
		return r.attachToKeyOwner(ctx, reply)
	}
	end, err := r.sendTo(ctx, choice)
	r.recordEnd(choice.Name, err)
	if err == nil {
		return end, nil
	}
	return nil, r.finalError(err)
}

func (r *dispatch) recordKey(ctx context.Context, choice routing.Choice) (*wire.KeyReply, error) {
	key := Digest16([]byte("key"), []byte(r.req.Workspace), []byte(r.req.Key))
	reply, err := r.e.CallOwner(ctx, &wire.PeerRequest{
		Partition: r.e.partitionOf(key),
		Kind: &wire.PeerRequest_RecordKey{RecordKey: &wire.RecordKey{
			Workspace:       r.req.Workspace,
			Key:             key,
			Request:         r.req.ID[:],
			Digest:          r.digest(),
			Agent:           choice.Name,
			KeepUntilUnixMs: time.Now().Add(keyRetention).UnixMilli(),
		}},
	})
	if err != nil {
		if apierr.Is(err, apierr.CodeKeyConflict) || apierr.Is(err, apierr.CodeBadRequest) {
			return nil, err
		}
		return nil, withUnknownOutcome(err)
	}
	return reply.GetKey(), nil
}

// withUnknownOutcome is the truth of a refusal while nobody can tell who owns the key. This
// call sent nothing to an agent and never will, but an earlier call with the same
// key may have run. A caller who read "not run" might send its request under a
// new key, and it would run twice.
func withUnknownOutcome(err error) error {
	fail := *apierr.From(err)
	fail.Ran = wire.Ran_RAN_UNKNOWN
	fail.Message += "; this call started nothing, one sent before with this key may have run: send it again with the same key"
	return &fail
}

// digest identifies the content of the request.
func (r *dispatch) digest() []byte {
	tokens := binary.BigEndian.AppendUint32(nil, r.req.MaxTokens)
	return Digest16([]byte(r.req.Model), []byte(r.req.Prompt), tokens,
		[]byte(r.req.Service), []byte(r.req.Method), []byte(r.req.Path), r.req.Body)
}

// attachToKeyOwner gives the caller the answer of the request that owns the key.
func (r *dispatch) attachToKeyOwner(ctx context.Context, key *wire.KeyReply) (*wire.End, error) {
	n := r.e.agent(key.GetAgent())
	if n == nil {
		return nil, apierr.Unknown(apierr.CodeOutcomeUnknown, "the target that had this request is gone")
	}
	r.e.mu.Lock()
	inc := ""
	if a := r.e.router.Get(key.GetAgent()); a != nil {
		inc = a.Report.Incarnation
	}
	r.e.mu.Unlock()
	at := &answerReader{dispatch: r, node: n, incarnation: []byte(inc), assembler: online.NewAssembler(key.GetRequest()), id: key.GetRequest(), shared: true}
	end, err := at.readToEnd(ctx, &wire.Call{Kind: &wire.Call_Attach{Attach: &wire.Attach{Id: key.GetRequest()}}})
	if err == nil {
		return end, nil
	}
	if errors.Is(err, errAgentLost) {
		return nil, apierr.Unknown(apierr.CodeOutcomeUnknown, "the target that had this request does not know it any more")
	}
	return nil, r.finalError(err)
}

// The longest deadline must be over before a key is forgotten.
const _ = uint64(keyRetention - agent.MaxTimeout)
