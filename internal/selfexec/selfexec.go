// Package selfexec lets a test binary stand for the shipped daemon, so that the
// processes that a test starts run the code under test, with the race detector
// if it is on, and no binary has to be built first.
package selfexec

import (
	"os"
	"testing"

	"nutmeglane.example/nutmeglane/internal/cli"
	"nutmeglane.example/nutmeglane/internal/hangup"
)

// Variable makes a binary whose TestMain calls Main run as nutmeglaned. Set it to
// "1" in the environment of the processes to start, os.Executable.
const Variable = "NUTMEGLANE_TEST_AS_DAEMON"

// Main runs the daemon in the started processes, and the tests otherwise. It does
// not return.
func Main(m *testing.M) {
	if os.Getenv(Variable) != "" {
		os.Exit(cli.RunDaemon(os.Stdout, os.Stderr))
	}
	hangup.Restore()
	os.Exit(m.Run())
}
