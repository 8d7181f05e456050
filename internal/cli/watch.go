package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/operator"
	"nutmeglane.example/nutmeglane/internal/operator/client"
)

// watchRetry is the delay before an interrupted watch is resumed.
const watchRetry = time.Second

func watchCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name: "watch", Usage: "print changes of a kind as they come into force, until interrupted", ArgsUsage: "KIND",
		Flags: connectFlags(outputFlag(), &cli.Int64Flag{Name: "since", Usage: "`REVISION` to begin after; 0 lists the present resources first"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			kind, err := kindArgument(cmd)
			if err != nil {
				return err
			}
			c, err := connect(cmd)
			if err != nil {
				return err
			}
			return watch(ctx, c, kind, cmd.Int64("since"), printer(out, wantsJSON(cmd)), errOut)
		},
		ShellComplete: completeKinds,
	}
}

func printer(out io.Writer, asJSON bool) func(operator.Event) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		return func(event operator.Event) error { return encoder.Encode(event) }
	}
	return func(event operator.Event) error {
		if event.Object == nil {
			return nil // a bookmark
		}
		_, err := fmt.Fprintf(out, "%-8s  %s  generation %d  revision %d\n",
			event.Type, event.Object.Key(), event.Object.Metadata.Generation, event.Revision)
		return err
	}
}

// watch prints the changes of a kind and resumes when the stream is interrupted. Events
// after the last bookmark may then be printed again.
func watch(ctx context.Context, c *client.Client, kind api.Kind, revision int64, each func(operator.Event) error, errOut io.Writer) error {
	for {
		var err error
		revision, err = c.Watch(ctx, kind, revision, each)
		var failure *client.Error
		switch {
		case ctx.Err() != nil:
			return nil
		case client.IsTooOld(err):
			fmt.Fprintln(errOut, "changes were missed and are not kept any more; listing again")
			revision = 0
		case errors.As(err, &failure) && failure.Status < 500:
			return err
		default:
			fmt.Fprintf(errOut, "%v; resuming after revision %d\n", err, revision)
		}
		select {
		case <-time.After(watchRetry):
		case <-ctx.Done():
			return nil
		}
	}
}
