package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"
)

// maxScopeBytes limits the length of a workspace in a job ID. IDs are part of store keys,
// whose length is encoded in one byte. A digest replaces longer workspace names.
const maxScopeBytes = 32

// scopeSeparator ends the workspace in a job ID. An escaped workspace name does not contain
// it.
const scopeSeparator = ":"

// ScopedID returns the ID under which the job of a workspace is stored. Each workspace has
// its own ID space, so no ID can refer to a job of another workspace.
func ScopedID(workspace, id string) string {
	scope := url.QueryEscape(workspace)
	if len(scope) > maxScopeBytes {
		sum := sha256.Sum256([]byte(workspace))
		scope = hex.EncodeToString(sum[:maxScopeBytes/2])
	}
	return scope + scopeSeparator + id
}
