// Package selfexec lets a test binary act as the nutmeglaned daemon. The processes
// that a test starts then run the code under test, with the race detector if it
// is enabled, and no binary has to be built first.
package selfexec

import (
	"os"
	"testing"

	"nutmeglane.example/nutmeglane/internal/cli"
	"nutmeglane.example/nutmeglane/internal/hangup"
)

// Variable is the environment variable that makes a test binary whose TestMain
// calls Main run as nutmeglaned. To start a daemon, run os.Executable with the
// variable set to "1".
const Variable = "NUTMEGLANE_TEST_AS_DAEMON"

// Main runs the daemon if Variable is set, and the tests otherwise. It does not
// return.
func Main(m *testing.M) {
	if os.Getenv(Variable) != "" {
		os.Exit(cli.RunDaemon(os.Stdout, os.Stderr))
	}
	hangup.Restore()
	os.Exit(m.Run())
}
