package cli

import (
	"io"

	"github.com/urfave/cli/v3"
)

// Tool returns the command line of nutmeglane, the command for operators and developers.
func Tool(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "nutmeglane",
		Usage:                 "operators' and developers' command of nutmeglane",
		Version:               Version,
		Writer:                out,
		ErrWriter:             errOut,
		EnableShellCompletion: true,
		Description:           exitHelp,
		Commands: []*cli.Command{
			validateCommand(out), schemaCommand(out),
			diffCommand(out), applyCommand(out, errOut),
			getCommand(out), describeCommand(out), watchCommand(out, errOut),
			rolloutCommand(out, errOut), drainCommand(out, errOut), liftCommand(out),
			dumpCommand(out), replayCommand(out), explainCommand(out, errOut), usageCommand(out, errOut), loadCommand(out, errOut),
			benchCommand(out, errOut), devCommand(out, errOut), versionCommand(out),
		},
	}
}
