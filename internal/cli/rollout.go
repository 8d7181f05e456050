package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/operator/client"
	"nutmeglane.example/nutmeglane/internal/operator/status"
)

// rolloutPoll is the polling interval of a rollout.
const rolloutPoll = 200 * time.Millisecond

// maxListedHosts limits the daemons that a progress line names.
const maxListedHosts = 5

func rolloutCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name: "rollout", Usage: "see how far a configuration has come",
		Commands: []*cli.Command{{
			Name: "status", Usage: "show the revision in force at each known daemon; exits with 2 if some are behind",
			Flags:  connectFlags(outputFlag(), timeoutFlag(), &cli.BoolFlag{Name: "wait", Usage: "wait until none is behind"}),
			Action: func(ctx context.Context, cmd *cli.Command) error { return rolloutStatus(ctx, cmd, out, errOut) },
		}},
	}
}

func rolloutStatus(ctx context.Context, cmd *cli.Command, out, errOut io.Writer) error {
	clients, err := connectAll(cmd)
	if err != nil {
		return err
	}
	rollout, err := rolloutOf(ctx, clients, 0)
	if err != nil {
		return err
	}
	if cmd.Bool("wait") {
		if err := waitForRollout(ctx, cmd, errOut, rollout.Revision); err != nil {
			return err
		}
		if rollout, err = rolloutOf(ctx, clients, rollout.Revision); err != nil {
			return err
		}
	}
	if err := writeRollout(cmd, out, rollout); err != nil {
		return err
	}
	if behind := rollout.Known - rollout.InForce; behind > 0 {
		return exitError{errors.Newf("%d daemons are behind or not connected", behind), ExitDiffers}
	}
	return nil
}

func writeRollout(cmd *cli.Command, out io.Writer, rollout status.Rollout) error {
	if wantsJSON(cmd) {
		return writeJSON(out, rollout)
	}
	t := newTable(out, "HOST", "ROLE", "ZONE", "CONNECTED", "REVISION")
	for _, d := range rollout.Daemons {
		t.row(d.Host, d.Role, d.Zone, d.Up, d.Revision)
	}
	if err := t.close(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "revision %d in force at %d of %d known daemons\n", rollout.Revision, rollout.InForce, rollout.Known)
	return err
}

// rolloutOf requests the rollout from all entries and merges the results: each entry reports
// itself and the agents. A revision of 0 means the newest in force at any entry.
func rolloutOf(ctx context.Context, clients []*client.Client, revision int64) (status.Rollout, error) {
	joined := status.Rollout{Revision: revision}
	index := map[core.HostID]int{}
	for _, c := range clients {
		one, err := c.Rollout(ctx)
		if err != nil {
			return joined, err
		}
		if revision == 0 {
			joined.Revision = max(joined.Revision, one.Revision)
		}
		for _, d := range one.Daemons {
			i, known := index[d.Host]
			if !known {
				index[d.Host] = len(joined.Daemons)
				joined.Daemons = append(joined.Daemons, d)
			} else if d.Revision > joined.Daemons[i].Revision {
				joined.Daemons[i] = d
			}
		}
	}
	joined.Known = len(joined.Daemons)
	for _, d := range joined.Daemons {
		if d.Revision >= joined.Revision {
			joined.InForce++
		}
	}
	return joined, nil
}

// waitForRollout reports progress until every known daemon has a revision in force,
// including daemons that appear while it waits.
func waitForRollout(ctx context.Context, cmd *cli.Command, errOut io.Writer, revision int64) error {
	clients, err := connectAll(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	poll := time.NewTicker(rolloutPoll)
	defer poll.Stop()
	lastLine := ""
	for {
		rollout, err := rolloutOf(ctx, clients, revision)
		line := progress(rollout)
		if err != nil {
			line = "can't ask for the rollout: " + err.Error()
		}
		if line != lastLine {
			fmt.Fprintln(errOut, line)
			lastLine = line
		}
		if err == nil && rollout.InForce == rollout.Known {
			return nil
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return exitError{errors.Newf("revision %d is accepted but not yet in force everywhere; go on waiting with `nutmeglane rollout status --wait`", revision), ExitTimeout}
		}
	}
}

func progress(rollout status.Rollout) string {
	line := fmt.Sprintf("revision %d in force at %d of %d known daemons", rollout.Revision, rollout.InForce, rollout.Known)
	var behind []string
	for _, d := range rollout.Daemons {
		if d.Revision >= rollout.Revision {
			continue
		}
		if len(behind) == maxListedHosts {
			behind = append(behind, "...")
			break
		}
		behind = append(behind, string(d.Host))
	}
	if len(behind) > 0 {
		line += "; waiting for " + strings.Join(behind, ", ")
	}
	return line
}
