package explain

import (
	"slices"
	"strings"
)

// refusedPermits are the messages of lines on permits that were refused because of the request's
// account or rank, with the reasons in words.
var refusedPermits = []struct{ message, reason string }{
	{"request refused a permit; its account has its share", "its client account had its share"},
	{"request refused a permit; more urgent requests go first", "more urgent requests went first"},
}

// permitRefusals describes why engines granted the request no permit when it asked, and which;
// "" if none refused it for its account or rank. The text begins with what came of it.
func (s *Explanation) permitRefusals(consequence string) string {
	var reasons []string
	for _, refused := range refusedPermits {
		var at []string
		for _, line := range s.RequestLines {
			instance := line.stringField("instance")
			if line.Message == refused.message && !slices.Contains(at, instance) {
				at = append(at, instance)
			}
		}
		if len(at) > 0 {
			reasons = append(reasons, refused.reason+" at "+strings.Join(at, ", "))
		}
	}
	if len(reasons) == 0 {
		return ""
	}
	return "; " + consequence + " because " + strings.Join(reasons, " and ")
}
