package cli

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"nutmeglane.example/nutmeglane/internal/api"
)

func versionCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version, the API version and how the binary was built",
		Action: func(context.Context, *cli.Command) error {
			_, err := fmt.Fprintf(out, "nutmeglane %s, api %s%s\n", Version, api.Version, buildInfo())
			return err
		},
	}
}

func buildInfo() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	text := ", " + info.GoVersion
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += ", commit " + setting.Value
		}
	}
	return text
}
