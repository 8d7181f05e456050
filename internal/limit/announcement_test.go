package limit

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

func named(perSecond float64, sent, received core.Time) Announcement {
	return Announcement{Named: true, PerSecond: perSecond, Sent: sent, Received: received}
}

func none(sent, received core.Time) Announcement { return Announcement{Sent: sent, Received: received} }

// A server announces a limit, lowers it and drops it while earlier answers are still on
// their way. Processed in order of arrival, an old one would remove a limit in force, or
// restore one that has ended.
func TestUpdateIgnoresOutdatedAnnouncements(t *testing.T) {
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
		{"lowered, received before one that was sent with it", named(5, 10, 40), named(4, 15, 30), named(4, 15, 40), true},
		{"an old lower one", named(5, 40, 50), named(4, 10, 30), named(5, 40, 50), false},
		{"raised, but possibly an older statement", named(5, 10, 30), named(9, 20, 40), named(5, 10, 30), false},
		{"raised", named(5, 10, 30), named(9, 30, 40), named(9, 30, 40), true},
		{"dropped, but possibly an older statement", named(5, 10, 30), none(29, 60), named(5, 10, 30), false},
		{"over", named(5, 10, 30), none(31, 40), none(31, 40), true},
		{"announced by a late answer from before the drop", none(31, 40), named(5, 10, 30), none(31, 40), false},
		{"announced again", none(31, 40), named(5, 50, 60), named(5, 50, 60), true},
		{"lowered to 0", named(5, 10, 30), named(0, 31, 40), named(0, 31, 40), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, changed := test.before.Update(test.next)
			if got != test.want || changed != test.changed {
				t.Errorf("Update = %+v, %t; want %+v, %t", got, changed, test.want, test.changed)
			}
		})
	}
}
