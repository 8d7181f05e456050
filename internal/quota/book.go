package quota

import (
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/window"
)

// leastAsked is what must be asked of an account a second for routers to be told of it.
const leastAsked = 1

// unseenSpan is how long after a loader began to count an account routers may still tell it
// what they had used before.
const unseenSpan = 2 * time.Second

// Book counts the use of all accounts, in a loader. It knows of limits what routers tell.
// The zero value is not usable; see NewBook.
type Book struct {
	members map[core.HostID]core.Time
	tallies map[string]*tally
	// unknown are accounts that were used and whose limits are not known.
	unknown map[string]bool
	// saidAt is when routers were told last, allAt when of all accounts.
	saidAt, allAt core.Time
}

// tally is an account's use.
type tally struct {
	limit core.QuotaLimit
	// level is the bucket's at a time, began when the account was first counted.
	level     float64
	at, began core.Time
	used      window.Window
	// asked is what all routers ask, by what each does.
	asked demand
	by    map[core.HostID]*asker
}

// asker is one router's part of what is asked of an account.
type asker struct {
	asked demand
	share slowShare
	// told is set once it has told since its share was noted.
	told bool
	// presumed was counted as used since the router was lost sight of.
	presumed float64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{members: map[core.HostID]core.Time{}, tallies: map[string]*tally{}, unknown: map[string]bool{}}
}

// Report takes in what a router admitted.
func (b *Book) Report(now core.Time, from core.HostID, uses core.QuotaUses) {
	if b.heard(now) == 0 {
		// The first word waits, so that all routers have told what they used before.
		b.saidAt = now.Add(WordInterval)
		clear(b.tallies)
	}
	silent := now.Sub(b.members[from])
	if silent > heardFor {
		b.allAt = 0 // It knows nothing of any account.
	}
	b.members[from] = now
	if uses.First {
		b.lifeEnded(now, from)
	}
	for _, use := range uses.Uses {
		if t := b.tally(now, use); t != nil {
			t.take(now, from, use, silent)
		}
	}
	if silent <= heardFor {
		return
	}
	for _, t := range b.tallies {
		if by := t.by[from]; by != nil {
			t.heardAgain(by)
		}
	}
}

// lifeEnded counts what a router's last life had admitted and not told, by what was asked
// of it then.
//
// It guards against routers that are killed one after the other: each takes what it had not
// told with it, up to a hundredth of the bound where there are few routers.
func (b *Book) lifeEnded(now core.Time, router core.HostID) {
	for _, t := range b.tallies {
		by := t.by[router]
		if by == nil {
			continue
		}
		b.advance(t, now)
		untold := by.asked.rate(by.asked.at) * untoldSpan.Seconds()
		t.level -= untold
		t.used.Add(now, untold)
	}
}

// heardAgain goes on with what a router told in place of what was presumed. The window
// keeps that: when the router took it is not known, and it passes by itself.
func (t *tally) heardAgain(by *asker) {
	t.level = min(t.limit.Depth, t.level+by.presumed)
	by.presumed = 0
}

// tally returns an account's tally at its newest limit, nil if none is known.
func (b *Book) tally(now core.Time, use core.QuotaUse) *tally {
	t := b.tallies[use.Account]
	if t == nil && use.Limit == nil {
		b.unknown[use.Account] = true
		return nil
	}
	if t == nil {
		t = &tally{
			limit: *use.Limit, level: use.Limit.Depth, at: now, began: now,
			used: window.New(use.Limit.Window, bookSlots), by: map[core.HostID]*asker{},
		}
		b.tallies[use.Account] = t
		delete(b.unknown, use.Account)
	}
	b.advance(t, now)
	if use.Limit != nil && use.Limit.Version >= t.limit.Version {
		t.limit = *use.Limit
		t.level = min(t.level, t.limit.Depth)
	}
	return t
}

// take counts a use by a router that had told nothing for a while. What was presumed of it
// meanwhile was this.
//
// It guards against a loader that does not know what was used while nobody told it, since
// it had not begun to count, or was out of the routers' reach: its count would leave room
// for as much again. A router that connects tells what it admitted within the last window.
func (t *tally) take(now core.Time, from core.HostID, use core.QuotaUse, silent time.Duration) {
	by := t.by[from]
	untold := 0.0
	switch {
	case by == nil:
		by = &asker{}
		t.by[from] = by
		if now.Sub(t.began) <= unseenSpan {
			t.used.AddParts(now, use.Recent)
		}
	case len(use.Recent) > 0:
		untold = within(use.Recent, silent, t.limit.Window)
	}
	told := max(0, use.Used) + untold
	known := min(by.presumed, told)
	by.presumed -= known
	used := use.Used + untold - known
	t.level -= used
	t.used.Add(now, used)
	t.asked.add(now, use.Asked)
	by.asked.add(now, use.Asked)
	by.told = true
}

// within is what was used in the last parts of a window that lie within a time: of one that
// lies so only partly, as much. With whole parts alone a loader that was out of reach for
// 1.9 s knew of one second's use, and gave the rest of it out again.
func within(parts []float64, span, window time.Duration) float64 {
	left := float64(span) * float64(len(parts)) / float64(window)
	sum := 0.0
	for _, used := range slices.Backward(parts) {
		sum += used * max(0, min(1, left))
		left--
	}
	return sum
}

// left is what the account may use now.
func (t *tally) left(now core.Time) float64 {
	return min(t.level, t.limit.Most-t.used.Total(now))
}

// advance fills a bucket up to now, and counts what routers may have used that were lost
// sight of: the part that they had last. See lonely.
func (b *Book) advance(t *tally, now core.Time) {
	passed := now.Sub(t.at)
	t.at = now
	t.level = min(t.limit.Depth, t.level+t.limit.Rate*passed.Seconds())
	for name, at := range b.members {
		by := t.by[name]
		if now.Sub(at) <= heardFor || by == nil {
			continue
		}
		unheard := passed
		if by.presumed == 0 {
			unheard = now.Sub(at) // Nor was heard what it took until it counted as lost.
		}
		windows := unheard.Seconds() / t.limit.Window.Seconds()
		presumed := aloneShare * lonely(by.share.value, len(b.members)) * t.limit.Most * windows
		by.presumed += presumed
		t.level -= presumed
		t.used.Add(now, presumed)
	}
}

// heard counts the routers that told something lately, and forgets those that did not for
// long.
func (b *Book) heard(now core.Time) int {
	heard := 0
	for name, at := range b.members {
		switch silent := now.Sub(at); {
		case silent > keptFor:
			b.forgetRouter(name)
		case silent <= heardFor:
			heard++
		}
	}
	return heard
}

func (b *Book) forgetRouter(name core.HostID) {
	delete(b.members, name)
	for _, t := range b.tallies {
		delete(t.by, name)
	}
}

// Say returns what routers are to be told now, and which; nil if nothing is due.
func (b *Book) Say(now core.Time) (*core.QuotaLevels, []core.HostID) {
	since := now.Sub(b.saidAt)
	members := b.heard(now)
	if since < WordInterval || members == 0 {
		return nil, nil
	}
	all := now.Sub(b.allAt) >= wholeInterval
	levels := &core.QuotaLevels{All: all, Members: members, Unknown: slices.Sorted(maps.Keys(b.unknown))}
	clear(b.unknown)
	for _, name := range slices.Sorted(maps.Keys(b.tallies)) {
		t := b.tallies[name]
		b.advance(t, now)
		left, asked := t.left(now), t.asked.rate(now)
		if all {
			t.noteShares(now, asked)
		}
		if all && asked >= leastAsked || left < closeLevel*t.limit.Depth {
			levels.Levels = append(levels.Levels, core.QuotaLevel{Account: name, Level: int64(left), Asked: int64(asked)})
		}
	}
	if !all && len(levels.Levels) == 0 && len(levels.Unknown) == 0 && since < QuietInterval {
		return nil, nil
	}
	b.saidAt = now
	if all {
		b.allAt = now
	}
	return levels, b.audience(now)
}

// noteShares follows each router's part of what is asked. That of a router which told
// nothing since stays: it may be out of sight.
func (t *tally) noteShares(now core.Time, asked float64) {
	for _, by := range t.by {
		if by.told {
			by.share.note(by.asked.rate(now), asked)
			by.told = false
		}
	}
}

func (b *Book) audience(now core.Time) []core.HostID {
	var names []core.HostID
	for name, at := range b.members {
		if now.Sub(at) <= heardFor {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
