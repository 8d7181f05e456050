package cli

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

func dumpCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "dump", Usage: "write the state of processes as one JSON object", ArgsUsage: "IP:port...", Flags: connectFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error { return dump(ctx, out, cmd) },
	}
}

// dump requests the state from each operators' address. If one fails, its error is written
// in place of its state, so that the states of the others are not lost.
func dump(ctx context.Context, out io.Writer, cmd *cli.Command) error {
	addresses := cmd.Args().Slice()
	if len(addresses) == 0 {
		return exitError{errors.New("name at least one operators' address, IP:port"), ExitRefused}
	}
	clients, err := connectTo(cmd, addresses)
	if err != nil {
		return err
	}
	states, failed := map[string]any{}, 0
	for i, address := range addresses {
		state, err := clients[i].State(ctx)
		if err != nil {
			failed++
			states[address] = map[string]string{"error": err.Error()}
			continue
		}
		states[address] = state
	}
	if err := writeJSON(out, states); err != nil {
		return err
	}
	if failed > 0 {
		return exitError{errors.Newf("%d of %d processes did not answer; the dump names them", failed, len(addresses)), ExitUnavailable}
	}
	return nil
}
