// Package e2e tests the system as separate processes over TCP. Only the tests start
// processes.
package e2e
