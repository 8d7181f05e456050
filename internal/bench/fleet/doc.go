// Package fleet runs the daemon binary as separate processes on loopback, against
// fakes of the platform's services in the calling process. Since each daemon is a
// process, its CPU time, memory and metrics can be measured separately.
package fleet
