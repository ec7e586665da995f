package jobstore

import (
	"context"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"pumiceford/store"
	"pumiceford/targets"
	"pumiceford/wire"
)

// ItemKey identifies an item of a job.
type ItemKey struct {
	Job  string
	Item int
}

// Progress records how far an unfinished item has run. Text is a prefix of the item's
// output, and targets with the same software can resume after the last complete event.
type Progress struct {
	Key       ItemKey
	LastEvent uint64 // last complete event
	Text      []byte
	Software  targets.Software // that wrote Text; the zero value if it is not known
	Instances []string         // IDs of the targets that wrote Text
	Listed    bool             // the result is listed, so the saved progress is deleted
}

// maxProgressBytes is the maximum size of the saved text of an item. It fits into one
// record. An item with a longer output restarts from the beginning after a crash.
const maxProgressBytes = 240 << 10

// SaveProgress saves the progress of items of a partition. No process follows the
// progress topic; it is read only when another process takes the partition over. The
// writes are unconditional: if an older record overwrites a newer one, part of the run
// is repeated and nothing else is lost.
func (s *Store) SaveProgress(ctx context.Context, number int, all []Progress) error {
	var recs []store.Record
	for _, p := range all {
		if len(p.Text) > maxProgressBytes {
			continue
		}
		r := store.Record{Key: p.Key.Job + "/" + strconv.Itoa(p.Key.Item)}
		if !p.Listed {
			value, err := proto.Marshal(&wire.ItemProgress{
				LastEvent: p.LastEvent, Text: p.Text, Service: p.Software.Service, Version: p.Software.Version,
				Instances: p.Instances,
			})
			if err != nil {
				return err
			}
			r.Value = value
		}
		recs = append(recs, r)
	}
	for _, group := range splitAppends(recs, s.settings.MaxAppendBytes) {
		part := store.Partition{Topic: s.settings.ProgressTopic, Number: number}
		if _, err := s.log.Append(ctx, part, group, store.AnyEnd); err != nil {
			return err
		}
	}
	return nil
}

// LoadProgress returns the saved progress of the items of a partition. It skips records
// that cannot be decoded.
func (s *Store) LoadProgress(ctx context.Context, number int) ([]Progress, error) {
	snap, err := store.NewestAll(ctx, s.log, store.Partition{Topic: s.settings.ProgressTopic, Number: number})
	if err != nil {
		return nil, err
	}
	var out []Progress
	for _, r := range snap.Records {
		job, item, ok := strings.Cut(r.Key, "/")
		index, err := strconv.Atoi(item)
		var p wire.ItemProgress
		if !ok || err != nil || proto.Unmarshal(r.Value, &p) != nil {
			s.logger.Warn("progress record cannot be decoded; the item restarts from the beginning")
			continue
		}
		out = append(out, Progress{
			Key: ItemKey{job, index}, LastEvent: p.GetLastEvent(), Text: p.GetText(),
			Software:  targets.Software{Service: p.GetService(), Version: p.GetVersion()},
			Instances: p.GetInstances(),
		})
	}
	return out, nil
}
