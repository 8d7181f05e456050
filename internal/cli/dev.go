package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"nutmeglane.example/nutmeglane/internal/dev"
	"nutmeglane.example/nutmeglane/internal/standin/engine"
	"nutmeglane.example/nutmeglane/internal/standin/hosts"
	"nutmeglane.example/nutmeglane/internal/standin/kv"
	"nutmeglane.example/nutmeglane/internal/standin/service"
	"nutmeglane.example/nutmeglane/internal/standin/store"
)

func devCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "stand-ins of the platform, and the whole system on loopback",
		Commands: []*cli.Command{
			upCommand(out, errOut),
			kvCommand(out), storeCommand(out), hostsCommand(out), engineCommand(out), serviceCommand(out),
		},
	}
}

func upCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "up",
		Usage: "run stand-ins, an entry and agents in one process, with the declarations of examples/quickstart",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "callers' address", Value: "127.0.0.1:8080"},
			&cli.StringFlag{Name: "api", Usage: "operators' address", Value: "127.0.0.1:8081"},
			&cli.StringFlag{Name: "record", Usage: "record the entry's run to `FILE` for replay"},
			&cli.BoolFlag{Name: "verbose", Usage: "log changes of state to standard error"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			callers, err := netip.ParseAddrPort(cmd.String("listen"))
			if err != nil {
				return errors.Wrap(err, "--listen")
			}
			operators, err := netip.ParseAddrPort(cmd.String("api"))
			if err != nil {
				return errors.Wrap(err, "--api")
			}
			level := slog.LevelWarn
			if cmd.Bool("verbose") {
				level = slog.LevelInfo
			}
			return dev.Up(ctx, dev.UpOptions{
				Callers: callers, Operators: operators, Record: cmd.String("record"), Out: out,
				Log: slog.New(slog.NewTextHandler(errOut, &slog.HandlerOptions{Level: level})),
			})
		},
	}
}

// standinCommand returns a command that runs one stand-in until ctx is done.
func standinCommand(out io.Writer, name, usage string, flags []cli.Flag, build func(*cli.Command) (http.Handler, func())) *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Usage: "`IP:port`", Value: "127.0.0.1:0"}
	return &cli.Command{
		Name: name, Usage: usage, Flags: append([]cli.Flag{listen}, flags...),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			handler, closer := build(cmd)
			server, err := dev.Serve(cmd.String("listen"), handler, closer)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%s listening on %s\n", name, server.Address())
			return server.Wait(ctx)
		},
	}
}

func kvCommand(out io.Writer) *cli.Command {
	flags := []cli.Flag{
		&cli.FloatFlag{Name: "writes", Usage: "writes a second allowed, 0 for no limit", Value: 300},
		&cli.FloatFlag{Name: "reads", Usage: "reads a second allowed, 0 for no limit", Value: 2000},
	}
	return standinCommand(out, "kv", "key-value service", flags, func(cmd *cli.Command) (http.Handler, func()) {
		server := kv.New(kv.Options{WritesPerSecond: cmd.Float("writes"), ReadsPerSecond: cmd.Float("reads")})
		return server, server.Close
	})
}

func storeCommand(out io.Writer) *cli.Command {
	flags := []cli.Flag{
		&cli.FloatFlag{Name: "loads", Usage: "loads a second", Value: 5},
		&cli.IntFlag{Name: "lanes", Usage: "loads at full speed at once", Value: 4},
		&cli.FloatFlag{Name: "rate", Usage: "MiB a second of one load at full speed", Value: 500},
	}
	return standinCommand(out, "store", "weight store", flags, func(cmd *cli.Command) (http.Handler, func()) {
		return store.New(store.Options{
			LoadsPerSecond: cmd.Float("loads"), Lanes: cmd.Int("lanes"), LaneMiBPerSecond: cmd.Float("rate"),
		}), nil
	})
}

func hostsCommand(out io.Writer) *cli.Command {
	flags := []cli.Flag{&cli.DurationFlag{Name: "lag", Usage: "age of the list that is served", Value: 2 * time.Second}}
	return standinCommand(out, "hosts", "list of live and leaving hosts", flags, func(cmd *cli.Command) (http.Handler, func()) {
		return hosts.New(hosts.Options{Lag: cmd.Duration("lag")}), nil
	})
}

// engineCommand returns a command that runs one or more engines. The engines of one
// process share a referee, which counts how many copies of a model are loaded at once.
func engineCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "engine", Usage: "model engine",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`IP:port`", Value: "127.0.0.1:0"},
			&cli.IntFlag{Name: "count", Usage: "engines, each at a port of its own, with one referee", Value: 1},
			&cli.Int64Flag{Name: "memory", Usage: "accelerator memory in MiB", Value: 1536},
			&cli.StringFlag{Name: "store", Usage: "base URL of the weight store"},
			&cli.FloatFlag{Name: "tokens", Usage: "tokens a second of each stream", Value: 40},
			&cli.IntFlag{Name: "batch", Usage: "completions run at once", Value: 8},
			&cli.DurationFlag{Name: "load-fixed", Usage: "part of a load's time that no size changes", Value: 300 * time.Millisecond},
			&cli.DurationFlag{Name: "report-lag", Usage: "lag of load report and cache events", Value: time.Second},
			&cli.BoolFlag{Name: "ignore-fencing", Usage: "obey orders with old fencing numbers"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return runEngines(ctx, out, cmd) },
	}
}

func runEngines(ctx context.Context, out io.Writer, cmd *cli.Command) error {
	referee := engine.NewReferee()
	var addresses []string
	group, ctx := errgroup.WithContext(ctx)
	for range cmd.Int("count") {
		handler := engine.New(engine.Options{
			MemoryMiB: cmd.Int64("memory"), StoreURL: cmd.String("store"),
			TokensPerSecond: cmd.Float("tokens"), MaxBatch: cmd.Int("batch"),
			LoadFixed: cmd.Duration("load-fixed"), ReportLag: cmd.Duration("report-lag"),
			IgnoreFencing: cmd.Bool("ignore-fencing"), Referee: referee,
		})
		server, err := dev.Serve(cmd.String("listen"), handler, handler.Close)
		if err != nil {
			return err
		}
		addresses = append(addresses, server.Address())
		group.Go(func() error { return server.Wait(ctx) })
	}
	fmt.Fprintf(out, "engine listening on %s\n", strings.Join(addresses, ", "))
	return group.Wait()
}

func serviceCommand(out io.Writer) *cli.Command {
	flags := []cli.Flag{&cli.StringFlag{Name: "instance", Usage: "name that answers carry", Value: "service-1"}}
	return standinCommand(out, "service", "plain service", flags, func(cmd *cli.Command) (http.Handler, func()) {
		server := service.New(service.Options{Instance: cmd.String("instance")})
		return server, server.Close
	})
}
