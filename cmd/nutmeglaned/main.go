// Command nutmeglaned is the daemon. It runs as an entry, as the agent of a backend server,
// as a router, or as the loader of an engine.
package main

import (
	"os"

	"nutmeglane.example/nutmeglane/internal/cli"
)

func main() { os.Exit(cli.RunDaemon(os.Stdout, os.Stderr)) }
