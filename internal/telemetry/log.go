// Package telemetry creates the logger of a process, applies the reducer's
// Count, Observe and Note effects, and serves metrics, health checks and the
// state dump to operators. Neither logs nor metrics contain request text.
package telemetry

import (
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/settings"
)

// NewLogger returns a logger that writes to w with the level and format of s.
func NewLogger(w io.Writer, s settings.Log) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	options := &slog.HandlerOptions{Level: level}
	switch s.Format {
	case "json":
		return slog.New(slog.NewJSONHandler(w, options)), nil
	case "text":
		return slog.New(slog.NewTextHandler(w, options)), nil
	default:
		return nil, errors.Newf("log format %q, want json or text", s.Format)
	}
}
