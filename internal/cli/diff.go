package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/operator/client"
)

func diffCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show, field by field, what apply would change; exits with 2 if anything",
		Flags:  connectFlags(dirFlag(), pruneFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error { return diff(ctx, cmd, out) },
	}
}

func diff(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	resources, err := loadDir(cmd.String("file"))
	if err != nil {
		return err
	}
	c, err := connect(cmd)
	if err != nil {
		return err
	}
	result, err := c.Apply(ctx, resources, client.ApplyOptions{DryRun: true, Prune: cmd.Bool("prune")})
	if err != nil {
		return err
	}
	declared := map[api.Key]api.Resource{}
	for _, r := range resources {
		declared[r.Key()] = r
	}
	changed := 0
	for _, change := range result.Changes {
		if change.Action == core.ActionUnchanged || change.Action == core.ActionAbsent {
			continue
		}
		changed++
		if err := writeChange(ctx, out, c, change, declared[change.Key]); err != nil {
			return err
		}
	}
	if changed == 0 {
		_, err = fmt.Fprintf(out, "no differences to revision %d\n", result.Revision)
		return err
	}
	return exitError{errors.Newf("%d resources differ", changed), ExitDiffers}
}

func writeChange(ctx context.Context, out io.Writer, c *client.Client, change core.ConfigChange, declared api.Resource) error {
	fmt.Fprintf(out, "%s %s\n", change.Action, change.Key)
	if change.Action != core.ActionUpdated {
		return nil
	}
	current, err := c.Get(ctx, change.Key)
	var failure *client.Error
	if errors.As(err, &failure) && failure.Status == http.StatusNotFound {
		return nil // deleted by another operator since
	}
	if err != nil {
		return err
	}
	before, after := fieldsOf(current.Resource), fieldsOf(declared)
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			fmt.Fprintf(out, "  %s: %s -> %s\n", path, orNone(before[path]), orNone(after[path]))
		}
	}
	return nil
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

// fieldsOf returns the fields of a resource that operators set, as values in JSON by
// path. A list is one value.
func fieldsOf(r api.Resource) map[string]string {
	fields := map[string]string{}
	written, err := json.Marshal(map[string]any{"spec": r.Spec, "metadata": map[string]any{"labels": r.Metadata.Labels}})
	if err != nil {
		return fields
	}
	var tree map[string]any
	if json.Unmarshal(written, &tree) == nil {
		flatten(fields, "", tree)
	}
	return fields
}

func flatten(fields map[string]string, path string, value any) {
	object, ok := value.(map[string]any)
	if !ok {
		if text, err := json.Marshal(value); err == nil && value != nil {
			fields[path] = string(text)
		}
		return
	}
	for name, inner := range object {
		full := name
		if path != "" {
			full = path + "." + name
		}
		flatten(fields, full, inner)
	}
}
