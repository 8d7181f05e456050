package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"nutmeglane.example/nutmeglane/internal/load"
)

func loadCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send open-loop load to entries on loopback and check every answer",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plan", Usage: "load plan `FILE` (JSON with comments)", Required: true},
			&cli.StringFlag{Name: "json", Usage: "write the summary as JSON to `FILE`"},
			&cli.StringFlag{Name: "chart", Usage: "write latency and outcomes over time to `FILE` (.svg or .png)"},
			&cli.BoolFlag{Name: "quiet", Usage: "no progress lines"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return runLoad(ctx, cmd, out, errOut) },
	}
}

func runLoad(ctx context.Context, cmd *cli.Command, out, errOut io.Writer) error {
	plan, err := load.ReadPlan(cmd.String("plan"))
	if err != nil {
		return err
	}
	options := load.Options{Progress: errOut}
	if cmd.Bool("quiet") {
		options.Progress = nil
	}
	summary, runErr := load.Run(ctx, plan, options)
	if summary == nil {
		return runErr
	}
	if err := writeSummary(cmd, out, summary); err != nil {
		return err
	}
	if runErr != nil {
		return runErr
	}
	if faults := summary.Faults(); faults > 0 {
		return exitError{errors.Newf("%d faults", faults), ExitDiffers}
	}
	return nil
}

func writeSummary(cmd *cli.Command, out io.Writer, summary *load.Summary) error {
	if err := summary.WriteText(out); err != nil {
		return err
	}
	if file := cmd.String("chart"); file != "" {
		if err := summary.WriteChart(file); err != nil {
			return err
		}
	}
	file := cmd.String("json")
	if file == "" {
		return nil
	}
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "create summary")
	}
	if err := summary.WriteJSON(f); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "close summary")
	}
	_, err = fmt.Fprintf(out, "summary written to %s\n", file)
	return err
}
