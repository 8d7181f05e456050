// Package hangup prevents SIGHUP, which makes a daemon reload its settings, from terminating
// the process.
//
// The signal is ignored from before the start of the Go runtime (early.go), and recorded from
// the initialization of this package on. The package imports only the standard library, so it
// is initialized before most of the process. A SIGHUP that arrives while the program is being
// loaded still terminates it, because no code of the program runs then.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals receives SIGHUP from package initialization on, before main starts.
var signals = notifyHangup()

func notifyHangup() chan os.Signal {
	// Notify clears what this reads without cgo; the reference makes it initialized before.
	_ = ignoredByParent()
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// C returns the channel that receives every SIGHUP since package initialization. Signals that
// arrive before the previous one was received are merged into one.
func C() <-chan os.Signal { return signals }

// Restore restores the effect that SIGHUP had when the process was started. Processes that
// have no settings to reload call it. It reports whether the signal then terminates the
// process.
func Restore() (ends bool) {
	if ignoredByParent() {
		signal.Ignore(syscall.SIGHUP)
		return false
	}
	signal.Reset(syscall.SIGHUP)
	defaultHangup()
	return true
}
