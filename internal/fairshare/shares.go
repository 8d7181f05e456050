package fairshare

import (
	"math"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/window"
)

const (
	// Window is the period in which requests and permits of accounts are counted.
	Window = 2 * time.Second
	// windowSlots is the number of slots in which a window is counted.
	windowSlots = 32
	// MaxAccounts bounds the accounts that are counted, each separately for each of its ranks.
	// Another one replaces the least recent.
	MaxAccounts = 256
	// shortFor is how long permits count as short after a refusal.
	shortFor = time.Second
	// shortBelow is the part of the bucket below which permits count as short even if none was
	// refused. Without it an account's burst takes all permits before the shares apply.
	shortBelow = 0.5
	// minShareReserve is the least part of the bucket that an account over its share leaves.
	minShareReserve = 0.25
	// maxPace is the maximum time between two permits of an account whose share of a window is
	// less than one permit.
	maxPace = 10 * time.Second
	// tolerance is the number of requests by which an account may exceed its share without a
	// refusal. Requests come at random times: of an account that asks for one permit in a window
	// on average, 8 in 100 windows have three or more.
	tolerance = 2
	// An account that asks for at least pacedAbove times its share gets its permits one after
	// another, paceFactor of the mean time apart, and paceTolerance early after a pause. The
	// factor is below 1 so that the window and not the pace determines how many it gets, and
	// the others are not paced so that their requests, which come at random times, can use the
	// whole share.
	pacedAbove    = 1.5
	paceFactor    = 0.95
	paceTolerance = 500 * time.Millisecond
	// phaseStep spreads phases evenly over 0 to 1: it is the fractional part of the golden
	// ratio.
	phaseStep = 0.6180339887498949
)

// Bucket describes the engine's token bucket.
type Bucket struct {
	// Left is the number of permits that can be granted at once, Capacity its maximum.
	Left, Capacity float64
	// PerSecond is the rate at which the bucket fills.
	PerSecond float64
}

// usable is the part of the capacity that reserves refer to: with the last permit the request
// itself is granted.
func (b Bucket) usable() float64 { return max(0, b.Capacity-1) }

// Shares decides on the permits of one engine. The zero value is not usable; see New.
type Shares struct {
	// accounts are in no particular order; index is the position of each.
	accounts []*account
	index    map[accountKey]int
	// demands and ranks are reused between decisions.
	demands []demand
	ranks   []rankUse
	// added is the number of accounts that were added.
	added int
	// shortUntil is until when permits count as short.
	shortUntil core.Time
	// changes are the state changes that were not taken yet; see TakeChanges.
	changes []Change
}

// accountKey identifies an account's requests of one rank.
type accountKey struct {
	name string
	rank int
}

// account counts the requests of one account that have the same rank.
type account struct {
	accountKey
	weight         float64
	asked, granted window.Window
	// askedAt is when the account last asked, grantedAt when it was last granted a permit.
	askedAt, grantedAt core.Time
	// overdueAt is when a request last asked whose objective counts as missed unless it is
	// granted, and which is not of the most urgent rank.
	overdueAt core.Time
	// refusedAt is when a request was last refused for want of permits.
	refusedAt core.Time
	// share is its share at its last request, +Inf if it was not bounded. nextAt is when it
	// may get its next permit if it is paced by that share.
	share  float64
	nextAt core.Time
	// offset is the number of accounts that were added before it; see phase.
	offset int
	// refused is the number of its requests that were refused for its share.
	refused int
	episode episode
}

// New returns shares without accounts.
func New() *Shares { return &Shares{index: map[accountKey]int{}} }

// Decision is the decision on a request for a permit.
type Decision struct {
	// OverShare is set if the request is to be refused because its account has its share.
	// Room is then the time until the account may get its next permit.
	OverShare bool
	Room      time.Duration
	// Reserve is the number of permits that the request leaves to more urgent ones.
	Reserve float64
}

// Decide decides on a request for a permit and counts it. The caller calls Granted or Refused
// afterwards unless the decision is OverShare.
func (s *Shares) Decide(now core.Time, request Request, bucket Bucket) Decision {
	a := s.account(now, request)
	a.asked.Add(now, 1)
	a.share = math.Inf(1)
	if s.Short(now, bucket) {
		a.share = s.share(now, a, bucket)
	}
	if !a.allowed(now, a.share) && bucket.Left < 1+a.reserve(now)*bucket.usable() {
		s.refuseForShare(now, a)
		return Decision{OverShare: true, Room: a.room(now, a.share)}
	}
	return Decision{Reserve: s.reserve(now, request, bucket)}
}

// Granted counts a permit that was granted.
func (s *Shares) Granted(now core.Time, request Request) {
	a := s.account(now, request)
	a.granted.Add(now, 1)
	a.grantedAt = now
	pause := time.Duration(paceFactor * float64(Window) / max(1, a.share))
	// The share may have grown since earlier permits were counted.
	a.nextAt = min(now.Add(Window), max(now, a.nextAt).Add(pause))
}

// Refused records that a request was refused for want of permits: for want of any if noneLeft is
// set, otherwise because of its reserve.
func (s *Shares) Refused(now core.Time, request Request, noneLeft bool) {
	s.shortUntil = now.Add(shortFor)
	if noneLeft {
		s.account(now, request).refusedAt = now
	}
}

// Short reports whether permits are short, so that accounts are held to their shares.
func (s *Shares) Short(now core.Time, bucket Bucket) bool {
	return now < s.shortUntil || bucket.Left < shortBelow*bucket.Capacity
}

// share returns how many permits an account may get within the window, +Inf if it is not
// bounded.
func (s *Shares) share(now core.Time, of *account, bucket Bucket) float64 {
	return s.level(now, of.rank, bucket) * of.weight
}

// level returns the fair level of the accounts of a rank. More urgent ranks come first: what
// they were granted is not divided, except for the permit below which a rank counts as starved.
func (s *Shares) level(now core.Time, rank int, bucket Bucket) float64 {
	capacity := bucket.PerSecond * Window.Seconds()
	s.demands = s.demands[:0]
	for _, a := range s.accounts {
		switch {
		case a.rank < rank:
			capacity -= a.granted.Total(now)
		case a.rank == rank:
			if asked := a.asked.Total(now); asked > 0 {
				s.demands = append(s.demands, demand{asked, a.weight})
			}
		}
	}
	if len(s.demands) < 2 {
		return math.Inf(1)
	}
	return level(s.demands, max(starvedBelow, capacity))
}

// allowed reports whether an account may get another permit with the given share of the
// window.
//
// Permits are whole numbers, and a share is not: an account with a share of 3.5 permits would
// get 4 in each window, 14 in 100 too many. So the number that it may get alternates, by its
// phase, between the two whole numbers around its share. A share of less than one permit
// determines the time between two permits instead.
func (a *account) allowed(now core.Time, share float64) bool {
	if recent := a.episode.lastAt != 0 && now.Sub(a.episode.lastAt) < Window; !recent && a.asked.Total(now) < share+tolerance {
		return true
	}
	if share < 1 {
		return a.grantedAt == 0 || now >= a.grantedAt.Add(pace(share))
	}
	return a.granted.Total(now)+a.phase(now) < share && now >= a.pacedUntil(now, share)
}

// reserve returns the part of the bucket that an account leaves to others once it has its share:
// the more, the more it asks for.
//
// Otherwise requests of accounts that exceed their shares by chance are refused while permits
// are left that only an account far over its share would take.
func (a *account) reserve(now core.Time) float64 {
	return min(maxReserve, max(minShareReserve, a.asked.Total(now)/a.share-1))
}

// pacedUntil returns the time before which an account that asks for much more than its share
// gets no permit.
//
// Without it such an account takes its share at once whenever its last permits leave the
// window, and in 10 s it may get four or five times its share.
func (a *account) pacedUntil(now core.Time, share float64) core.Time {
	if a.asked.Total(now) < pacedAbove*share {
		return 0
	}
	return a.nextAt.Add(-paceTolerance)
}

// phase returns a number from 0 to 1 that changes with each window and differs between
// accounts. It must not change more often: an account takes a permit as soon as a lower phase
// allows it, and a higher one does not take that back, so that small shares would be exceeded.
func (a *account) phase(now core.Time) float64 {
	_, phase := math.Modf(phaseStep * float64(int64(now)/int64(Window)+int64(a.offset)))
	return phase
}

// room returns the time until allowed can be true.
func (a *account) room(now core.Time, share float64) time.Duration {
	if share < 1 {
		return a.grantedAt.Add(pace(share)).Sub(now)
	}
	room := max(0, a.pacedUntil(now, share).Sub(now))
	if most := math.Ceil(share-a.phase(now)) - 1; a.granted.Total(now) > most {
		room = max(room, a.granted.RoomIn(now, most))
	}
	return room
}

// pace returns the time between two permits with a share of less than one permit.
func pace(share float64) time.Duration {
	if share <= Window.Seconds()/maxPace.Seconds() {
		return maxPace
	}
	return time.Duration(float64(Window) / share)
}

// account returns the state of a request's account and updates its weight.
func (s *Shares) account(now core.Time, request Request) *account {
	key := accountKey{request.Account, request.Rank}
	i, known := s.index[key]
	if !known {
		i = s.add(now, key)
	}
	a := s.accounts[i]
	a.weight, a.askedAt = request.Weight, now
	return a
}

// add adds an account and returns its position. It replaces the least recent one if there are
// MaxAccounts.
func (s *Shares) add(now core.Time, key accountKey) int {
	a := &account{accountKey: key, offset: s.added, asked: window.New(Window, windowSlots), granted: window.New(Window, windowSlots)}
	s.added++
	i := len(s.accounts)
	if i < MaxAccounts {
		s.accounts = append(s.accounts, a)
	} else {
		i = s.leastRecent()
		s.endEpisode(now, s.accounts[i])
		delete(s.index, s.accounts[i].accountKey)
		s.accounts[i] = a
	}
	s.index[key] = i
	return i
}

func (s *Shares) leastRecent() int {
	least := 0
	for i, a := range s.accounts {
		if a.askedAt < s.accounts[least].askedAt {
			least = i
		}
	}
	return least
}
