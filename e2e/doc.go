// Package e2e tests the system as separate processes over TCP. The tests start
// the processes; the processes start none.
package e2e
