package fairshare

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// maxWeight is the largest weight that a message may name. No account has a rate above it.
	maxWeight = 1e9
	// maxRank is the largest rank that a message may name.
	maxRank = 1000
	// maxSlack is the largest slack that a message may name. Objectives are some seconds.
	maxSlack = 24 * time.Hour
	// maxNameBytes is the longest account name that a message may contain. It bounds the memory
	// of the accounts.
	maxNameBytes = 256
	// defaultWeight is the weight of an account without a declared rate.
	defaultWeight = 1
)

// Request is a request for a permit.
type Request struct {
	// Account is the client account, "" if there is none or it is not known.
	Account string
	// Weight is the account's weight, above 0.
	Weight float64
	// Rank is the request's priority, 0 being the most urgent.
	Rank int
	// Slack is the time until the request's objective is missed.
	Slack time.Duration
}

// Field is a field of a core.LimitRequest.
type Field string

// The fields that FromMessage checks.
const (
	FieldAccount Field = "account"
	FieldWeight  Field = "weight"
	FieldRank    Field = "rank"
	FieldSlack   Field = "slack"
)

// FromMessage converts a router's message. It returns the fields whose values are out of
// bounds, for which their defaults are used: no account, weight 1, rank 0, slack 0. Messages
// of the previous build contain none of the fields and get the defaults.
func FromMessage(message core.LimitRequest) (request Request, malformed []Field) {
	request = Request{Account: message.Account, Weight: message.Weight, Rank: message.Rank, Slack: message.Slack}
	if len(request.Account) > maxNameBytes {
		request.Account = ""
		malformed = append(malformed, FieldAccount)
	}
	switch w := request.Weight; {
	case w == 0:
		request.Weight = defaultWeight
	case !(w > 0 && w <= maxWeight): // also true for NaN
		request.Weight = defaultWeight
		malformed = append(malformed, FieldWeight)
	}
	if request.Rank < 0 || request.Rank > maxRank {
		request.Rank = 0
		malformed = append(malformed, FieldRank)
	}
	if request.Slack < 0 || request.Slack > maxSlack {
		request.Slack = 0
		malformed = append(malformed, FieldSlack)
	}
	return request, malformed
}
