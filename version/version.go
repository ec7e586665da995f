// Package version holds the version that all commands report.
package version

// Version is the version of this source tree.
const Version = "0.1.0"
