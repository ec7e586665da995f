package main

import (
	"os/exec"
	"strings"
	"testing"
)

// Guards against twice the idle memory of each process: an import that brings in the older
// stack's HTTP library also runs its initialisers.
func TestDoesNotLinkHertz(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range strings.Fields(string(out)) {
		if strings.HasPrefix(p, "github.com/cloudwego/hertz") || strings.HasPrefix(p, "github.com/bytedance/sonic") {
			t.Fatalf("pumiceford depends on %s", p)
		}
	}
}
