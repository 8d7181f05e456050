package limit

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

func named(perSecond float64, sent, heard core.Time) Announcement {
	return Announcement{Named: true, PerSecond: perSecond, Sent: sent, Received: heard}
}

func none(sent, heard core.Time) Announcement { return Announcement{Sent: sent, Received: heard} }

// A server names a limit, lowers it and takes it back, while answers that began earlier
// are still on their way. Taken as they come, an old one would lift a limit that holds,
// or bring back one that is over.
func TestFollowKnowsOldWordsFromNewOnes(t *testing.T) {
	tests := []struct {
		name    string
		before  Announcement
		next    Announcement
		want    Announcement
		changed bool
	}{
		{"no limit, none before", Announcement{}, none(10, 20), Announcement{}, false},
		{"the first limit", Announcement{}, named(5, 10, 20), named(5, 10, 20), true},
		{"the same again", named(5, 10, 20), named(5, 15, 30), named(5, 15, 30), false},
		{"the same, out of order", named(5, 15, 30), named(5, 10, 20), named(5, 15, 30), false},
		{"lowered", named(5, 10, 20), named(4, 15, 30), named(4, 15, 30), true},
		{"lowered, heard before one that was sent with it", named(5, 10, 40), named(4, 15, 30), named(4, 15, 40), true},
		{"an old lower one", named(5, 40, 50), named(4, 10, 30), named(5, 40, 50), false},
		{"raised, but maybe said before", named(5, 10, 30), named(9, 20, 40), named(5, 10, 30), false},
		{"raised", named(5, 10, 30), named(9, 30, 40), named(9, 30, 40), true},
		{"over, but maybe said before", named(5, 10, 30), none(29, 60), named(5, 10, 30), false},
		{"over", named(5, 10, 30), none(31, 40), none(31, 40), true},
		{"named late by an answer from before the end", none(31, 40), named(5, 10, 30), none(31, 40), false},
		{"named anew", none(31, 40), named(5, 50, 60), named(5, 50, 60), true},
		{"to 0", named(5, 10, 30), named(0, 31, 40), named(0, 31, 40), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, changed := test.before.Update(test.next)
			if got != test.want || changed != test.changed {
				t.Errorf("Follow = %+v, %t; want %+v, %t", got, changed, test.want, test.changed)
			}
		})
	}
}
