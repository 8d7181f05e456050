//go:build !cgo

package hangup

import (
	"os/signal"
	"syscall"
)

// initiallyIgnored is whether SIGHUP was ignored. It must be read before notifyHangup, which
// clears that state.
var initiallyIgnored = signal.Ignored(syscall.SIGHUP)

func ignoredByParent() bool { return initiallyIgnored }

func defaultHangup() {}
