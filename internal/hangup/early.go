//go:build cgo

package hangup

/*
#include <signal.h>

static int ignored_by_parent;

// Runs before the Go runtime starts. Until the runtime handles signals, some milliseconds
// later on a busy host, SIGHUP would terminate the process.
__attribute__((constructor)) static void ignore_hangup(void) {
	struct sigaction now = {0}, before;
	now.sa_handler = SIG_IGN;
	sigaction(SIGHUP, &now, &before);
	ignored_by_parent = before.sa_handler == SIG_IGN;
}

static int was_ignored(void) { return ignored_by_parent; }

static void default_hangup(void) { signal(SIGHUP, SIG_DFL); }
*/
import "C"

// ignoredByParent reports whether the process was started with SIGHUP ignored, as nohup does.
func ignoredByParent() bool { return C.was_ignored() != 0 }

// defaultHangup resets SIGHUP to the default action. signal.Reset alone would restore the
// disposition that the Go runtime found at its start, which is to ignore the signal.
func defaultHangup() { C.default_hangup() }
