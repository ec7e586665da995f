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

// Digest16 returns a 16-byte hash of parts. Each part is hashed with its length as
// prefix, so that different lists of parts never concatenate to the same input.
func Digest16(parts ...[]byte) []byte {
	lo, hi := xxhash.New(), xxhash.NewWithSeed(highHalfSeed)
	for _, p := range parts {
		size := binary.BigEndian.AppendUint64(nil, uint64(len(p)))
		// Writes to an xxhash digest never fail.
		_, _ = lo.Write(size)
		_, _ = lo.Write(p)
		_, _ = hi.Write(size)
		_, _ = hi.Write(p)
	}
	return hi.Sum(lo.Sum(nil))
}

// highHalfSeed seeds the second hash of Digest16, to make the two halves of a
// digest independent.
const highHalfSeed = 0x70756d69

// partitionOf returns the partition that an ID hashes to.
func (e *Entry) partitionOf(id []byte) uint32 {
	return uint32(xxhash.Sum64(id) % uint64(e.cfg.Ledger.Partitions))
}

// keyRetention is how long an idempotency key is stored. It must exceed every
// request deadline.
const keyRetention = 24 * time.Hour

// runKeyed runs a non-idempotent request at most once for its key, even if the
// caller retries it through other entries. The start is recorded in the log
// before the request is sent to an agent, and the first record in the log decides
// which request owns the key. If the log is unavailable, the request fails
// without being run.
func (d *dispatch) runKeyed(ctx context.Context) (*wire.End, error) {
	choice, ok := d.pickAgent()
	if !ok {
		return nil, withUnknownOutcome(d.noTargetError())
	}
	reply, err := d.recordKey(ctx, choice)
	if err != nil {
		d.recordEnd(choice.Name, nil)
		return nil, err
	}
	if !reply.GetFirst() {
		d.recordEnd(choice.Name, nil)
		return d.attachToKeyOwner(ctx, reply)
	}
	end, err := d.sendTo(ctx, choice)
	d.recordEnd(choice.Name, err)
	if err == nil {
		return end, nil
	}
	return nil, d.finalError(err)
}

func (d *dispatch) recordKey(ctx context.Context, choice routing.Choice) (*wire.KeyReply, error) {
	key := Digest16([]byte("key"), []byte(d.req.Workspace), []byte(d.req.Key))
	reply, err := d.e.CallOwner(ctx, &wire.PeerRequest{
		Partition: d.e.partitionOf(key),
		Kind: &wire.PeerRequest_RecordKey{RecordKey: &wire.RecordKey{
			Workspace:       d.req.Workspace,
			Key:             key,
			Request:         d.req.ID[:],
			Digest:          d.digest(),
			Agent:           choice.Name,
			KeepUntilUnixMs: time.Now().Add(keyRetention).UnixMilli(),
		}},
	})
	if err != nil {
		if apierr.Is(err, apierr.CodeIdempotencyConflict) || apierr.Is(err, apierr.CodeBadRequest) {
			return nil, err
		}
		return nil, withUnknownOutcome(err)
	}
	return reply.GetKey(), nil
}

// withUnknownOutcome marks a failure to determine the owner of a key as "unknown
// whether it ran". This call sends nothing to an agent, but an earlier call with
// the same key may have run. If the caller received "not run", it could send the
// request again under a new key, and the request would run twice.
func withUnknownOutcome(err error) error {
	fail := *apierr.From(err)
	fail.Ran = wire.Ran_RAN_UNKNOWN
	fail.Message += "; this call started nothing, one sent before with this key may have run: send it again with the same key"
	return &fail
}

// digest returns a hash of the request's content.
func (d *dispatch) digest() []byte {
	tokens := binary.BigEndian.AppendUint32(nil, d.req.MaxTokens)
	return Digest16([]byte(d.req.Model), []byte(d.req.Prompt), tokens,
		[]byte(d.req.Service), []byte(d.req.Method), []byte(d.req.Path), d.req.Body)
}

// attachToKeyOwner attaches to the request that owns the key, at the agent that runs it, and
// passes on its response.
func (d *dispatch) attachToKeyOwner(ctx context.Context, owner *wire.KeyReply) (*wire.End, error) {
	n := d.e.agent(owner.GetAgent())
	if n == nil {
		return nil, apierr.MaybeExecuted(apierr.CodeOutcomeUnknown, "the target that had this request is gone")
	}
	d.e.mu.Lock()
	incarnation := ""
	if a := d.e.router.Get(owner.GetAgent()); a != nil {
		incarnation = a.Report.Incarnation
	}
	d.e.mu.Unlock()
	reader := &responseReader{dispatch: d, node: n, incarnation: []byte(incarnation), assembler: online.NewAssembler(owner.GetRequest()), id: owner.GetRequest(), shared: true}
	end, err := reader.readToEnd(ctx, &wire.Call{Kind: &wire.Call_Attach{Attach: &wire.Attach{Id: owner.GetRequest()}}})
	if err == nil {
		return end, nil
	}
	if errors.Is(err, errAgentLost) {
		return nil, apierr.MaybeExecuted(apierr.CodeOutcomeUnknown, "the target that had this request does not know it any more")
	}
	return nil, d.finalError(err)
}

// This constant compiles only if keyRetention is at least agent.MaxTimeout: a key
// must be stored until the longest deadline has passed.
const _ = uint64(keyRetention - agent.MaxTimeout)
