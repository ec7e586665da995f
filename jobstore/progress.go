package jobstore

import (
	"context"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"pumiceford/store"
	"pumiceford/wire"
)

// ItemKey names an item of a job.
type ItemKey struct {
	Job  string
	Item int
}

// Progress is how far an unfinished item came. Its text is a prefix of the whole
// output, and any target goes on after its last event.
type Progress struct {
	Key  ItemKey
	Last uint64 // last whole event
	Text []byte
	Done bool // the item is listed: what was kept is dropped
}

// maxProgressBytes is the most text that is kept of an unfinished item. It fits
// one record; a longer output is started anew after a crash.
const maxProgressBytes = 240 << 10

// SaveProgress keeps how far items of a partition came, in a topic that nobody
// follows: it is read only when another process takes the partition over. An
// older word that overwrites a newer one costs some of the run and nothing else,
// so these writes need no condition.
func (s *Store) SaveProgress(ctx context.Context, number int, all []Progress) error {
	var recs []store.Record
	for _, p := range all {
		if len(p.Text) > maxProgressBytes {
			continue
		}
		r := store.Record{Key: p.Key.Job + "/" + strconv.Itoa(p.Key.Item)}
		if !p.Done {
			value, err := proto.Marshal(&wire.ItemProgress{LastEvent: p.Last, Text: p.Text})
			if err != nil {
				return err
			}
			r.Value = value
		}
		recs = append(recs, r)
	}
	for _, group := range groups(recs, s.set.CallBytes) {
		part := store.Partition{Topic: s.set.ProgressTopic, Number: number}
		if _, err := s.log.Append(ctx, part, group, store.AnyEnd); err != nil {
			return err
		}
	}
	return nil
}

// LoadProgress returns how far items of a partition came.
func (s *Store) LoadProgress(ctx context.Context, number int) ([]Progress, error) {
	snap, err := store.NewestAll(ctx, s.log, store.Partition{Topic: s.set.ProgressTopic, Number: number})
	if err != nil {
		return nil, err
	}
	var out []Progress
	for _, r := range snap.Records {
		job, item, ok := strings.Cut(r.Key, "/")
		index, err := strconv.Atoi(item)
		var p wire.ItemProgress
		if !ok || err != nil || proto.Unmarshal(r.Value, &p) != nil {
			s.out.Warn("progress record cannot be read; the item starts anew")
			continue
		}
		out = append(out, Progress{Key: ItemKey{job, index}, Last: p.GetLastEvent(), Text: p.GetText()})
	}
	return out, nil
}
