package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"nutmeglane.example/nutmeglane/internal/api"
)

func dirFlag() cli.Flag {
	return &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "directory of declarations, `DIR`", Required: true}
}

func validateCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "validate", Usage: "check declarations without a system", Flags: []cli.Flag{dirFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			dir := cmd.String("file")
			resources, err := loadDir(dir)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(out, "%s: %d resources are valid\n", dir, len(resources))
			return err
		},
	}
}

// loadDir parses and validates a directory of declarations.
func loadDir(dir string) ([]api.Resource, error) {
	resources, err := api.ParseDir(dir)
	if err != nil {
		return nil, err
	}
	return resources, api.Check(resources)
}

func schemaCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "schema", Usage: "print the JSON Schema of a kind, or write those of all kinds", ArgsUsage: "[KIND]",
		Flags: []cli.Flag{&cli.StringFlag{Name: "dir", Usage: "write one file for each kind to `DIR`"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if dir := cmd.String("dir"); dir != "" {
				return writeSchemas(dir)
			}
			kind, err := kindArgument(cmd)
			if err != nil {
				return err
			}
			document, err := api.Schema(kind)
			if err != nil {
				return err
			}
			_, err = out.Write(document)
			return err
		},
		ShellComplete: completeKinds,
	}
}

func writeSchemas(dir string) error {
	for _, kind := range api.Kinds() {
		document, err := api.Schema(kind)
		if err != nil {
			return err
		}
		file := filepath.Join(dir, strings.ToLower(string(kind))+".json")
		if err := os.WriteFile(file, document, 0o644); err != nil {
			return errors.Wrap(err, "write schema")
		}
	}
	return nil
}
