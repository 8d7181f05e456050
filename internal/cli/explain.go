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

func explainRequest(out, errOut io.Writer, id string, files []string) error {
	var log explain.Log
	for _, file := range files {
		if err := readLog(&log, file); err != nil {
			return err
		}
	}
	if log.Bad > 0 {
		fmt.Fprintf(errOut, "%d lines could not be read and were left out\n", log.Bad)
	}
	story := log.Of(id)
	return story.Write(out)
}

func readLog(log *explain.Log, file string) error {
	f, err := openFile(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return errors.Wrap(log.Read(f), file)
}
