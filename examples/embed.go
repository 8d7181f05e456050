// Package examples embeds the declarations that `nutmeglane dev up` applies.
package examples

import "embed"

// Quickstart holds the files of examples/quickstart.
//
//go:embed quickstart/*.jsonc
var Quickstart embed.FS

// Deployments holds the files of examples/helvarin and examples/agence.
//
//go:embed helvarin/*.jsonc agence/*.jsonc
var Deployments embed.FS
