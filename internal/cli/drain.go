package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"nutmeglane.example/nutmeglane/internal/operator/client"
)

// drainPoll is the polling interval of a draining process.
const drainPoll = 200 * time.Millisecond

func drainCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "stop the process at an operators' address gracefully, as SIGTERM does", ArgsUsage: "IP:port",
		Flags: connectFlags(timeoutFlag(), &cli.BoolFlag{Name: "wait", Usage: "wait until it has ended"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			address := cmd.Args().Get(0)
			if address == "" {
				return exitError{errors.New("name the operators' address (operators.listen of its settings) of the process to drain"), ExitRefused}
			}
			clients, err := connectTo(cmd, []string{address})
			if err != nil {
				return err
			}
			answer, err := clients[0].Drain(ctx)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%s is draining: it takes no new work, finishes what runs and ends\n", answer.Host)
			if !cmd.Bool("wait") {
				return nil
			}
			return waitForEnd(ctx, clients[0], cmd.Duration("timeout"), errOut)
		},
	}
}

// waitForEnd waits until connections to the address fail. Other errors do not prove that
// the process has ended.
func waitForEnd(ctx context.Context, c *client.Client, timeout time.Duration, errOut io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for {
		_, err := c.State(ctx)
		var network *net.OpError
		if errors.As(err, &network) && network.Op == "dial" && ctx.Err() == nil {
			fmt.Fprintln(errOut, "ended")
			return nil
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return exitError{errors.New("it still runs; requests in flight may take up to stopLimit of its settings"), ExitTimeout}
		}
	}
}
