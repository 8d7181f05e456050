package scenario

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"nutmeglane.example/nutmeglane/internal/cli"
)

// TestMain makes the test binary act as the two shipped binaries, so that the
// processes of a script run the code under test, with the race detector if it is
// enabled.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"nutmeglaned": func() { os.Exit(cli.RunDaemon(os.Stdout, os.Stderr)) },
		"nutmeglane":  func() { os.Exit(cli.RunTool(os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds:                commands,
	})
}
