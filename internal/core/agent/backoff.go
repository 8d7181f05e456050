package agent

import (
	"net/http"
	"strconv"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// headerRetryAfter is the header with which a plain service that turns a request away states for
// how many seconds it wants no others.
const headerRetryAfter = "Retry-After"

// maxServiceBackoff is the longest backoff of a plain service that is respected; a longer one
// counts as this long.
const maxServiceBackoff = time.Hour

// noteBackoff records from the head of an answer that a plain service wants no requests for
// some time. Those that wait are refused: the entries send them to other agents.
func (p *Part) noteBackoff(s *slot, head core.RunProgress) {
	until := p.now.Add(backoffOf(head))
	if until <= max(p.now, s.backoffUntil) {
		return
	}
	s.backoffUntil = until
	p.refuseTarget(s.base, code.BackingOff, until.Sub(p.now))
}

// backoffOf returns the backoff that an answer states, 0 if none or one that can't be read.
func backoffOf(head core.RunProgress) time.Duration {
	if head.Status != http.StatusServiceUnavailable {
		return 0
	}
	for _, field := range head.Header {
		if field.Name != headerRetryAfter {
			continue
		}
		seconds, err := strconv.ParseFloat(field.Value, 64)
		if err != nil || !(seconds > 0) {
			return 0
		}
		return time.Duration(min(seconds, maxServiceBackoff.Seconds()) * float64(time.Second))
	}
	return 0
}
