package entry

import (
	"errors"
	"testing"

	"pumiceford/apierr"
	"pumiceford/ledger"
	"pumiceford/wire"
)

// checkTyped fails the fuzz run if err is not an *apierr.Error or does not say
// "not run".
func checkTyped(t *testing.T, err error) {
	t.Helper()
	var fail *apierr.Error
	if err != nil && (!errors.As(err, &fail) || fail.Ran != wire.Ran_RAN_NO) {
		t.Fatalf("want a typed error that says not run, got: %v", err)
	}
}

func FuzzDecodeCompletion(f *testing.F) {
	for _, s := range []string{``, `{}`, `{"model":"m","prompt":"p"}`, `{"model":"m","messages":[{"role":"user","content":"c"}],"max_tokens":3}`, `{"model":7}`, "{\"model\":\"\xff\"}", `[`} {
		f.Add([]byte(s), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		b, err := decodeCompletion(data, chat)
		checkTyped(t, err)
		if err == nil && (b.Model == "" || b.Prompt == "" || b.MaxTokens == 0) {
			t.Fatalf("accepted incomplete body %+v", b)
		}
	})
}

func FuzzDecodeSubmit(f *testing.F) {
	for _, s := range []string{``, `{}`, `{"input_file_id":"f","endpoint":"/v1/completions","completion_window":"24h"}`, `{"endpoint":"/v1/completions","completion_window":"-1s"}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, window, err := decodeSubmit(data)
		checkTyped(t, err)
		if err == nil && (window <= 0 || window > maxWindow) {
			t.Fatalf("accepted completion window %s", window)
		}
	})
}

func FuzzParseObjectRef(f *testing.F) {
	e := &Entry{cfg: Config{Ledger: ledger.Config{Partitions: 8}}}
	for _, s := range []string{"", "batch_", "batch_" + objectRef{partition: 3, id: make([]byte, 16)}.String(), "batch_ffff00"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		p, err := e.parseObjectRef(prefixBatch, s)
		checkTyped(t, err)
		if err == nil && (p.partition >= 8 || len(p.id) != 16) {
			t.Fatalf("accepted invalid ID %+v", p)
		}
	})
}
