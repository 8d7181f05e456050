package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/operator"
	"nutmeglane.example/nutmeglane/internal/operator/client"
)

func pruneFlag() cli.Flag {
	return &cli.BoolFlag{Name: "prune", Usage: "delete resources that the directory does not declare"}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Usage: "longest wait", Value: 30 * time.Second}
}

func applyCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "declare what is in a directory, all or nothing",
		Flags: connectFlags(dirFlag(), pruneFlag(), outputFlag(), timeoutFlag(),
			&cli.BoolFlag{Name: "dry-run", Usage: "show the changes without making them"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until every known daemon has the changes in force"}),
		Action: func(ctx context.Context, cmd *cli.Command) error { return apply(ctx, cmd, out, errOut) },
	}
}

func apply(ctx context.Context, cmd *cli.Command, out, errOut io.Writer) error {
	resources, err := loadDir(cmd.String("file"))
	if err != nil {
		return err
	}
	c, err := connect(cmd)
	if err != nil {
		return err
	}
	dryRun := cmd.Bool("dry-run")
	result, err := c.Apply(ctx, resources, client.ApplyOptions{DryRun: dryRun, Prune: cmd.Bool("prune")})
	if err != nil {
		return unknownIfSent(err)
	}
	if err := writeResult(cmd, out, result); err != nil || dryRun || !cmd.Bool("wait") {
		return err
	}
	return waitForRollout(ctx, cmd, errOut, result.Revision)
}

// unknownIfSent returns ExitUnknown for a change that was sent but whose response was
// lost, because the entry may still apply it. Other errors are returned unchanged.
func unknownIfSent(err error) error {
	var answered *client.Error
	var network *net.OpError
	if errors.As(err, &answered) || errors.As(err, &network) && network.Op == "dial" {
		return err
	}
	return exitError{errors.Wrapf(err, "code %d: the entry's answer was lost and the change may take effect; apply again (what is done is reported as unchanged) or run `nutmeglane diff`", code.KVUnknown), ExitUnknown}
}

func writeResult(cmd *cli.Command, out io.Writer, result operator.Result) error {
	if wantsJSON(cmd) {
		return writeJSON(out, result)
	}
	t := newTable(out, "KIND", "NAME", "ACTION")
	for _, change := range result.Changes {
		t.row(change.Key.Kind, change.Key.Name, change.Action)
	}
	if err := t.close(); err != nil {
		return err
	}
	suffix := ""
	if result.DryRun {
		suffix = ", nothing was changed (dry run)"
	}
	_, err := fmt.Fprintf(out, "revision %d%s\n", result.Revision, suffix)
	return err
}
