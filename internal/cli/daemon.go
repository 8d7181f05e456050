// Package cli implements the command lines of the two binaries. Each command parses its
// flags and calls one package that does the work.
package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"nutmeglane.example/nutmeglane/internal/daemon"
	"nutmeglane.example/nutmeglane/internal/hangup"
	"nutmeglane.example/nutmeglane/internal/settings"
	"nutmeglane.example/nutmeglane/internal/telemetry"
)

// Version is the version of the release, printed by both binaries.
const Version = "0.1.0-dev"

const settingsFlag = "settings"

// Daemon returns the command line of nutmeglaned.
func Daemon(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "nutmeglaned",
		Usage:     "the daemon of nutmeglane: an entry, or the agent beside a backend server",
		Version:   Version,
		Writer:    out,
		ErrWriter: errOut,
		Commands: []*cli.Command{
			daemonCommand("entry", "serve callers and operators", runEntry(errOut)),
			daemonCommand("agent", "serve one backend server", runAgent(errOut)),
			daemonCommand("router", "serve callers from the backend servers of a fleet", runRouter(out)),
			daemonCommand("loader", "load and unload the models of the engine beside it", runLoader(out)),
			daemonCommand("check", "check a settings file and exit", checkSettings(out)),
		},
	}
}

func daemonCommand(name, usage string, action cli.ActionFunc) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: settingsFlag, Usage: "settings `FILE` (JSON with comments)", Required: true},
			&cli.StringFlag{Name: "record", Usage: "record events and effects to `FILE` for replay (holds request text)"},
		},
		Action: action,
	}
}

func runEntry(errOut io.Writer) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		s, err := settings.LoadEntry(cmd.String(settingsFlag))
		if err != nil {
			return err
		}
		logger, err := prepare(cmd, &s.Common, errOut)
		if err != nil {
			return err
		}
		entry, err := daemon.NewEntry(s, logger)
		if err != nil {
			return err
		}
		return entry.Run(ctx)
	}
}

func runAgent(errOut io.Writer) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		s, err := settings.LoadAgent(cmd.String(settingsFlag))
		if err != nil {
			return err
		}
		logger, err := prepare(cmd, &s.Common, errOut)
		if err != nil {
			return err
		}
		agent, err := daemon.NewAgent(s, logger)
		if err != nil {
			return err
		}
		return agent.Run(ctx)
	}
}

func runRouter(out io.Writer) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		return daemon.RunRouter(ctx, cmd.String(settingsFlag), out)
	}
}

func runLoader(out io.Writer) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		return daemon.RunLoader(ctx, cmd.String(settingsFlag), out)
	}
}

func prepare(cmd *cli.Command, s *settings.Common, errOut io.Writer) (*slog.Logger, error) {
	if record := cmd.String("record"); record != "" {
		s.Record = record
	}
	return telemetry.NewLogger(errOut, s.Log)
}

func checkSettings(out io.Writer) cli.ActionFunc {
	return func(_ context.Context, cmd *cli.Command) error {
		file := cmd.String(settingsFlag)
		s, err := settings.Load(file)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s: settings of role %s are valid\n", file, s.RoleName())
		return err
	}
}

// RunDaemon runs the command line of nutmeglaned until it completes or the process receives
// SIGINT or SIGTERM, and returns the exit status. SIGHUP never terminates it.
func RunDaemon(out, errOut io.Writer) int {
	return run(Daemon(out, errOut), syscall.SIGINT, syscall.SIGTERM)
}

// RunTool runs the command line of nutmeglane until it completes or the process receives
// SIGINT, SIGTERM or SIGHUP, and returns the exit status. SIGHUP makes a closed terminal stop
// the command; it has no effect if the process was started with SIGHUP ignored.
func RunTool(out, errOut io.Writer) int {
	stops := []os.Signal{syscall.SIGINT, syscall.SIGTERM}
	if hangup.Restore() {
		stops = append(stops, syscall.SIGHUP)
	}
	return run(Tool(out, errOut), stops...)
}

func run(command *cli.Command, stops ...os.Signal) int {
	ctx, stop := signal.NotifyContext(context.Background(), stops...)
	defer stop()
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", command.Name, err)
		return ExitCode(err)
	}
	return 0
}
