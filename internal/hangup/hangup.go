// Package hangup keeps SIGHUP, which asks a daemon to read its settings again, from ending
// the process.
//
// The signal has no effect from before the Go runtime starts (early.go), and is noted from
// this package's start on, which needs nothing but the standard library's signals and comes
// before most of a process's start. A signal that comes while the program is being loaded
// still ends it: nothing of ours runs then.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals is set up before main begins.
var signals = catch()

func catch() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// C returns the channel on which each SIGHUP since the process's start arrives, several that
// follow one another as one.
func C() <-chan os.Signal { return signals }

// Release gives SIGHUP back the effect that it had when the process was started, in one that
// has no settings to read again. It reports whether the signal ends the process then.
func Restore() (ends bool) {
	if ignoredByParent() {
		signal.Ignore(syscall.SIGHUP)
		return false
	}
	signal.Reset(syscall.SIGHUP)
	defaultHangup()
	return true
}
