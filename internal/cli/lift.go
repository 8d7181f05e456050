package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"nutmeglane.example/nutmeglane/internal/core"
)

func liftCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "lift",
		Usage:     "let a request that ended servers be sent to them again, at all routers",
		ArgsUsage: "IP:port FINGERPRINT", Flags: connectFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			address, fingerprint := cmd.Args().Get(0), cmd.Args().Get(1)
			if address == "" {
				return exitError{errors.New("name the operators' address of a router, and the fingerprint"), ExitRefused}
			}
			if _, err := core.ParseFingerprint(fingerprint); err != nil {
				return exitError{err, ExitRefused}
			}
			clients, err := connectTo(cmd, []string{address})
			if err != nil {
				return err
			}
			answer, err := clients[0].Lift(ctx, fingerprint)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%s sends request %s to servers again, and tells the other routers\n", answer.Host, answer.Request)
			return nil
		},
	}
}
