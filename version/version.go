// Package version names the version of all commands.
package version

// Version is the version of this tree.
const Version = "0.1.0"
