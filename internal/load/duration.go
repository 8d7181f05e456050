package load

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration written as text, such as "250ms" or "2m".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.WithStack(err)
	}
	*d = Duration(parsed)
	return nil
}
