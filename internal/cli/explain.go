package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/explain"
)

func explainCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell from logs what happened to a request, and why", ArgsUsage: "ID FILE...",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() < 2 {
				return exitError{errors.Newf("code %d: explain takes a request's id and one log file or more", code.BadField), ExitRefused}
			}
			return explainRequest(out, errOut, cmd.Args().First(), cmd.Args().Tail())
		},
	}
}

func usageCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name: "usage", Usage: "sum up from logs how long cold starts took and how long models were loaded for nobody", ArgsUsage: "FILE...",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() < 1 {
				return exitError{errors.Newf("code %d: usage takes one log file or more", code.BadField), ExitRefused}
			}
			log, err := readLogs(errOut, cmd.Args().Slice())
			if err != nil {
				return err
			}
			usage := log.Usage()
			return usage.Write(out)
		},
	}
}

func explainRequest(out, errOut io.Writer, id string, files []string) error {
	log, err := readLogs(errOut, files)
	if err != nil {
		return err
	}
	explanation := log.Explain(id)
	return explanation.Write(out)
}

func readLogs(errOut io.Writer, files []string) (*explain.Log, error) {
	log := &explain.Log{}
	for _, file := range files {
		if err := readLog(log, file); err != nil {
			return nil, err
		}
	}
	if log.Malformed > 0 {
		fmt.Fprintf(errOut, "%d lines could not be read and were left out\n", log.Malformed)
	}
	return log, nil
}

func readLog(log *explain.Log, file string) error {
	f, err := openFile(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return errors.Wrap(log.Read(f), file)
}
