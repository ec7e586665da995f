package batch

import (
	"errors"
	"testing"

	"pumiceford/apierr"
	"pumiceford/infra"
)

func FuzzParseItem(f *testing.F) {
	for _, s := range []string{``, `{}`, `{"custom_id":"a","body":{"model":"m","prompt":"p"}}`, `{"custom_id":"a","body":{"model":"m","messages":[{"role":"u","content":"c"}]}}`, `{"custom_id":1}`, "\xff"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		item, err := ParseItem(line)
		var apiErr *apierr.Error
		if err != nil && !errors.As(err, &apiErr) {
			t.Fatalf("error %v is not an apierr.Error", err)
		}
		if err == nil && (item.CustomID == "" || item.Prompt == "" || item.Model == "" || item.MaxTokens == 0) {
			t.Fatalf("accepted item %+v with an empty field", item)
		}
	})
}

// FuzzApply applies arbitrary bytes: records that are not envelopes change only
// the offset.
func FuzzApply(f *testing.F) {
	f.Add([]byte(""), []byte("\x0a\x10aaaaaaaaaaaaaaaa\x10\x01\x18\x01"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		p := NewPartition(0)
		p.Apply(infra.Record{Offset: 0, Data: a})
		p.Apply(infra.Record{Offset: 1, Data: b})
		if p.Next() != 2 {
			t.Fatalf("next offset is %d, want 2", p.Next())
		}
		if _, err := Restore(0, a); err == nil {
			NewSnapshotFinder().Add(infra.Record{Data: a})
		}
	})
}
