// Command nutmeglane is the command for operators and developers.
package main

import (
	"os"

	"nutmeglane.example/nutmeglane/internal/cli"
)

func main() { os.Exit(cli.RunTool(os.Stdout, os.Stderr)) }
