package cli

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/operator/client"
)

// The exit statuses of both binaries.
const (
	ExitFailure = 1
	// ExitDiffers: a replay, diff, load or rollout found a difference.
	ExitDiffers = 2
	// ExitRefused: declarations or the request are not valid; nothing was
	// changed, and a retry would fail again.
	ExitRefused = 3
	// ExitConflict: a concurrent change took effect first; nothing was changed.
	ExitConflict = 4
	// ExitUnavailable: the entry or the KV service did not respond; nothing was
	// changed. Retry later.
	ExitUnavailable = 5
	// ExitUnknown: the change may or may not take effect.
	ExitUnknown = 6
	// ExitTimeout: a wait timed out.
	ExitTimeout = 7
)

const exitHelp = `Exit statuses: 0 done; 1 failure; 2 a difference was found; 3 not valid, nothing
changed; 4 conflict, nothing changed; 5 unreachable or unavailable, nothing
changed; 6 unknown whether the change takes effect; 7 a wait timed out.`

type exitError struct {
	error
	status int
}

func (e exitError) Unwrap() error { return e.error }

// ExitCode returns the exit status for an error.
func ExitCode(err error) int {
	var explicit exitError
	var failure *client.Error
	var declaration *api.DeclarationError
	var network *net.OpError
	switch {
	case errors.As(err, &explicit):
		return explicit.status
	case errors.As(err, &failure):
		return statusOf(failure.Status)
	case errors.As(err, &declaration):
		return ExitRefused
	case errors.As(err, &network):
		return ExitUnavailable
	}
	return ExitFailure
}

// statusOf returns the exit status for an HTTP status of the API.
func statusOf(status int) int {
	switch {
	case status == http.StatusConflict:
		return ExitConflict
	case status == http.StatusGatewayTimeout:
		return ExitUnknown
	case status >= http.StatusInternalServerError:
		return ExitUnavailable
	}
	return ExitRefused
}
