package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/operator"
	"nutmeglane.example/nutmeglane/internal/operator/status"
)

func getCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "show resources", ArgsUsage: "KIND [NAME]", Flags: connectFlags(outputFlag()),
		Action:        func(ctx context.Context, cmd *cli.Command) error { return get(ctx, out, cmd) },
		ShellComplete: completeKinds,
	}
}

func describeCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "describe", Usage: "show one resource with its conditions and replicas", ArgsUsage: "KIND NAME", Flags: connectFlags(),
		Action:        func(ctx context.Context, cmd *cli.Command) error { return describe(ctx, out, cmd) },
		ShellComplete: completeKinds,
	}
}

// kindArgument parses the first argument as a kind.
func kindArgument(cmd *cli.Command) (api.Kind, error) {
	given := cmd.Args().Get(0)
	kind, ok := api.KindOf(given)
	if !ok {
		return "", exitError{errors.Newf("code %d: unknown kind %q; wanted one of %v", code.BadField, given, api.Kinds()), ExitRefused}
	}
	return kind, nil
}

// completeKinds prints shell completions: the kinds, if there is no argument yet, and the
// flags.
func completeKinds(ctx context.Context, cmd *cli.Command) {
	if cmd.NArg() == 0 {
		for _, kind := range api.Kinds() {
			fmt.Fprintln(cmd.Root().Writer, kind.Plural())
		}
	}
	cli.DefaultCompleteWithFlags(ctx, cmd)
}

func get(ctx context.Context, out io.Writer, cmd *cli.Command) error {
	kind, err := kindArgument(cmd)
	if err != nil {
		return err
	}
	c, err := connect(cmd)
	if err != nil {
		return err
	}
	if name := cmd.Args().Get(1); name != "" {
		item, err := c.Get(ctx, api.Key{Kind: kind, Name: name})
		if err != nil {
			return err
		}
		return writeJSON(out, item)
	}
	list, err := c.List(ctx, kind)
	if err != nil {
		return err
	}
	if wantsJSON(cmd) {
		return writeJSON(out, list)
	}
	t := newTable(out, "NAME", "GENERATION", "RESOURCEVERSION", "CONDITIONS", "REPLICAS")
	for _, item := range list.Items {
		m := item.Metadata
		t.row(m.Name, m.Generation, m.ResourceVersion, conditionsOf(item), replicasOf(item))
	}
	return t.close()
}

// conditionsOf lists the types of the conditions. One that is not true is marked with "!"
// and its reason.
func conditionsOf(item operator.Item) string {
	if item.Status == nil {
		return "-"
	}
	var texts []string
	for _, c := range item.Status.Conditions {
		text := c.Type
		if c.Status != status.True {
			text = "!" + c.Type + "(" + c.Reason + ")"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, ",")
}

func replicasOf(item operator.Item) string {
	if item.Status == nil || len(item.Status.Replicas) == 0 {
		return "-"
	}
	var texts []string
	for _, r := range item.Status.Replicas {
		texts = append(texts, fmt.Sprintf("%s:%s", r.Host, r.State))
	}
	return strings.Join(texts, ",")
}

func describe(ctx context.Context, out io.Writer, cmd *cli.Command) error {
	kind, err := kindArgument(cmd)
	if err != nil {
		return err
	}
	name := cmd.Args().Get(1)
	if name == "" {
		return exitError{errors.Newf("name the %s to describe; `nutmeglane get %s` lists them", kind, kind.Plural()), ExitRefused}
	}
	c, err := connect(cmd)
	if err != nil {
		return err
	}
	item, err := c.Get(ctx, api.Key{Kind: kind, Name: name})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s  generation %d, resourceVersion %d\n\n", item.Key(), item.Metadata.Generation, item.Metadata.ResourceVersion)
	if err := writeJSON(out, item.Spec); err != nil || item.Status == nil {
		return err
	}
	fmt.Fprintln(out)
	return writeStatus(out, item.Status)
}

func writeStatus(out io.Writer, s *status.Status) error {
	t := newTable(out, "CONDITION", "STATUS", "REASON", "MESSAGE")
	for _, c := range s.Conditions {
		t.row(c.Type, c.Status, c.Reason, c.Message)
	}
	if err := t.close(); err != nil || len(s.Replicas) == 0 {
		return err
	}
	fmt.Fprintln(out)
	t = newTable(out, "SLOT", "HOST", "GENERATION", "STATE", "RUNNING", "QUEUED")
	for _, r := range s.Replicas {
		t.row(r.Slot, r.Host, r.Generation, r.State, r.Running, r.Queued)
	}
	return t.close()
}
