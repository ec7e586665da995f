package daemon

import (
	"fmt"
	"io"
	"os"
)

// Main runs a command. If the command fails, the error is written to w and the process
// exits with status 1.
func Main(w io.Writer, run func() error) {
	if err := run(); err != nil {
		// If the error cannot be written either, the exit status still reports it.
		_, _ = fmt.Fprintf(w, "error: %v\n", err)
		os.Exit(1)
	}
}
