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
		var fail *apierr.Error
		if err != nil && !errors.As(err, &fail) {
			t.Fatalf("untyped failure %v", err)
		}
		if err == nil && (item.CustomID == "" || item.Prompt == "" || item.Model == "" || item.MaxTokens == 0) {
			t.Fatalf("accepted %+v", item)
		}
	})
}

// FuzzApply folds arbitrary bytes: records that are not ours change nothing but
// the offset.
func FuzzApply(f *testing.F) {
	f.Add([]byte(""), []byte("\x0a\x10aaaaaaaaaaaaaaaa\x10\x01\x18\x01"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		p := NewPartition(0)
		p.Apply(infra.Record{Offset: 0, Data: a})
		p.Apply(infra.Record{Offset: 1, Data: b})
		if p.Next() != 2 {
			t.Fatalf("next is %d", p.Next())
		}
		if _, err := Restore(0, a); err == nil {
			NewFinder().Add(infra.Record{Data: a})
		}
	})
}
