package daemon

import (
	"fmt"
	"io"
	"os"
)

// Exit runs a command and ends the process: 0 when it succeeded, 1 with the
// failure on w when it did not.
func Exit(w io.Writer, run func() error) {
	if err := run(); err != nil {
		// When even the failure cannot be written, the exit status tells it.
		_, _ = fmt.Fprintf(w, "error: %v\n", err)
		os.Exit(1)
	}
}
