package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/urfave/cli/v3"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/daemon"
	"nutmeglane.example/nutmeglane/internal/runtime"
)

func replayCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "replay a recorded run and compare its effects", ArgsUsage: "FILE",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "steps", Usage: "print each step's event and effects by type"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return replay(out, cmd.Args().Get(0), cmd.Bool("steps"))
		},
	}
}

func replay(out io.Writer, file string, steps bool) error {
	f, err := openFile(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	decoder := cbor.NewDecoder(f)
	var blueprint daemon.Blueprint
	if err := decoder.Decode(&blueprint); err != nil {
		return errors.Wrapf(err, "code %d: %s is not a record", code.BadReplay, file)
	}
	machine, err := blueprint.Build()
	if err != nil {
		return err
	}
	var each func(runtime.Step, []core.Effect)
	if steps {
		each = func(step runtime.Step, effects []core.Effect) { printStep(out, step, effects) }
	}
	count, difference, err := runtime.Replay(decoder, machine, each)
	if difference != nil {
		fmt.Fprintf(out, "step %d, %T: effects differ (-recorded +replayed):\n%s\n",
			difference.Index, difference.Event, cmp.Diff(difference.Recorded, difference.Replayed))
		return exitError{errors.Wrapf(err, "code %d", code.BadReplay), ExitDiffers}
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s %s: %d steps replayed to the same effects\n", blueprint.Role, blueprint.Host, count)
	return err
}

func printStep(out io.Writer, step runtime.Step, effects []core.Effect) {
	event, err := core.DecodeEvent(step.Event)
	if err != nil {
		return // Replay reports it
	}
	fmt.Fprintf(out, "%d %T", step.At, event)
	for _, effect := range effects {
		fmt.Fprintf(out, " -> %T", effect)
	}
	fmt.Fprintln(out)
}
