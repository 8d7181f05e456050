package limit

import (
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// spareShare is the part of a bucket's depth that is kept for requests which no other
	// server can serve.
	spareShare = 0.5
	// forgetAfter is how long a server of which nobody says anything is kept.
	forgetAfter = time.Minute
)

// Keeper counts, in a loader, what all routers send to the servers whose limits it keeps.
// The zero value is not usable; see NewKeeper.
type Keeper struct{ servers map[string]*kept }

// kept is a server whose limit is kept.
type kept struct {
	life   core.ServerLife
	word   Word
	bucket bucket
	// refused are the routers that were refused and ask again.
	refused line
	// heardAt is when a router last said something of it.
	heardAt core.Time
}

// NewKeeper returns a keeper that knows of no server.
func NewKeeper() *Keeper { return &Keeper{servers: map[string]*kept{}} }

// Ask takes in a router's word. It returns the answer if something was asked, and what all
// other routers are to know if the limit is new.
func (k *Keeper) Ask(now core.Time, ask core.LimitAsk) (answer, news *core.LimitTold) {
	s, ours := k.server(now, ask.Server)
	if !ours {
		return refusedAsk(ask), nil
	}
	s.heardAt = now
	before := s.word.Named
	changed := s.hear(now, ask.Limit)
	s.bucket.sent.AddParts(now, ask.Uncounted)
	if changed && (before || s.word.Named) {
		news = s.told(now)
	}
	if ask.Ask != 0 {
		answer = s.answer(now, ask)
	}
	return answer, news
}

// server returns a server's present life, and false for a word on an earlier one.
func (k *Keeper) server(now core.Time, life core.ServerLife) (*kept, bool) {
	s := k.servers[life.Instance]
	if s != nil && life.Born != 0 && life.Born < s.life.Born {
		return nil, false
	}
	// A limit is over with the life that named it.
	if s == nil || life.Born > s.life.Born {
		s = &kept{life: life, bucket: newBucket(now)}
		k.servers[life.Instance] = s
	}
	return s, true
}

// refusedAsk answers a question on a life of a server that is over.
func refusedAsk(ask core.LimitAsk) *core.LimitTold {
	if ask.Ask == 0 {
		return nil
	}
	return &core.LimitTold{Server: ask.Server, Ask: ask.Ask, Spare: ask.Spare, Room: longestLine}
}

func (s *kept) hear(now core.Time, told core.ReportedLimit) (changed bool) {
	s.word, changed = s.word.Follow(WordOf(now, told))
	if changed && s.word.Named {
		s.bucket.setRate(now, max(LeastPerSecond, s.word.PerSecond))
	}
	return changed
}

func (s *kept) answer(now core.Time, ask core.LimitAsk) *core.LimitTold {
	told := s.told(now)
	told.Ask, told.Spare = ask.Ask, ask.Spare
	leaves := 0.0
	if ask.Spare {
		leaves = spareShare * (s.bucket.depth() - 1)
	}
	if !s.word.Named || s.bucket.take(now, leaves) {
		told.Granted = true
		return told
	}
	told.Room = s.bucket.roomIn(now, leaves)
	if !ask.Spare {
		told.Room = s.refused.after(now, told.Room, pauseOf(s.bucket.rate))
	}
	return told
}

// told is what routers are told of a server's limit.
func (s *kept) told(now core.Time) *core.LimitTold {
	return &core.LimitTold{Server: s.life, Limit: s.word.told(now)}
}

// All returns what a router that has just connected is to know: the limits that hold.
func (k *Keeper) All(now core.Time) []core.LimitTold {
	var all []core.LimitTold
	for _, instance := range slices.Sorted(maps.Keys(k.servers)) {
		if s := k.servers[instance]; s.word.Named {
			all = append(all, *s.told(now))
		}
	}
	return all
}

// State is the dump of a server whose limit is kept.
type State struct {
	Server core.ServerLife
	// PerSecond is the limit, nil if it is over.
	PerSecond *float64
	// Tokens are the requests that may be granted at once, Sent those within the window.
	Tokens, Sent float64
}

// Dump returns the state of all servers that are kept, by instance.
func (k *Keeper) Dump(now core.Time) []State {
	var states []State
	for _, instance := range slices.Sorted(maps.Keys(k.servers)) {
		s := k.servers[instance]
		state := State{Server: s.life, Tokens: s.bucket.tokens, Sent: s.bucket.sent.Total(now)}
		if s.word.Named {
			state.PerSecond = &s.word.PerSecond
		}
		states = append(states, state)
	}
	return states
}

// Forget drops servers of which nobody has said anything for long. A router that knows of
// a limit there tells it anew with its next question.
func (k *Keeper) Forget(now core.Time) {
	maps.DeleteFunc(k.servers, func(_ string, s *kept) bool { return now.Sub(s.heardAt) > forgetAfter })
}

// WordOf is a message's word in this process's time.
func WordOf(now core.Time, told core.ReportedLimit) Word {
	if told.HeardAgo == 0 {
		return Word{} // nothing was heard yet; see Word.told
	}
	return Word{
		Named: told.Named, PerSecond: told.PerSecond,
		Sent: now.Add(-told.SentAgo), Heard: now.Add(-told.HeardAgo),
	}
}

// told is the word as messages have it. Of one that was heard, HeardAgo is never 0.
func (w Word) told(now core.Time) core.ReportedLimit {
	if !w.known() {
		return core.ReportedLimit{}
	}
	return core.ReportedLimit{
		Named: w.Named, PerSecond: w.PerSecond, SentAgo: now.Sub(w.Sent), HeardAgo: max(1, now.Sub(w.Heard)),
	}
}
