package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// The bound on limits required by users: from reactionTime after a server first set a
	// limit, at most limitOver times the allowed requests plus limitSlack may reach it
	// within limitWindow. Only routers that forwarded an answer with the limit at least
	// forwardGrace earlier count.
	limitWindow  = 4 * time.Second
	limitOver    = 1.5
	limitSlack   = 5
	forwardGrace = 500 * time.Millisecond
	// engineLimit and plainLimit, in requests per second, are at most a fifth of the rates
	// without a limit.
	engineLimit, plainLimit = "1.5", "2"
	// limitSeed selects the networks of the deployments, distinct from other tests.
	limitSeed = 70
)

// Guards against routers that ignore the limits of servers. An overloaded engine and a plain
// service announce in their answers how many requests per second they accept from all routers
// together. The limit must hold for the sum of all routers, and all routers must remove it once
// the servers announce none.
func TestLimitsOfServersHold(t *testing.T) {
	w := newWorld(t, limitSeed)
	defer w.close()
	stop := w.startCallers(callers)
	defer stop()
	w.awaitServed(t)
	w.engines[0].nameLimit(engineLimit)
	w.plains[0].nameLimit(plainLimit)
	w.awaitLimitsEnforced(t)
	w.engines[0].nameLimit("")
	w.plains[0].nameLimit("")
	w.awaitLimitsOver(t)
	stop()
	w.quiesce()
	w.report(t, limitSeed, &faults{world: w})
}

// Guards against the same failure when the processes that could count for all routers are down:
// first the loader of the engine, then all loaders.
func TestLimitsHoldWithoutLoaders(t *testing.T) {
	w := newWorld(t, limitSeed+1)
	defer w.close()
	stop := w.startCallers(callers)
	defer stop()
	w.awaitServed(t)
	w.loaders[0].end(syscall.SIGKILL)
	w.engines[0].nameLimit(engineLimit)
	w.plains[0].nameLimit(plainLimit)
	w.awaitLimitsEnforced(t)
	for _, l := range w.loaders[1:] {
		l.end(syscall.SIGKILL)
	}
	w.awaitLimitsEnforced(t)
	stop()
	w.quiesce()
	w.report(t, limitSeed+1, &faults{world: w})
}

// awaitLimitsEnforced waits until a limit set before the call has been in force for a whole
// limitWindow.
func (w *world) awaitLimitsEnforced(t *testing.T) {
	t.Helper()
	until := time.Now().Add(reactionTime + limitWindow)
	w.await(t, "limits to be enforced", func() bool { return time.Now().After(until) })
}

// awaitLimitsOver waits until no router has a limit, even if another server is equally suitable
// and gets all requests.
func (w *world) awaitLimitsOver(t *testing.T) {
	t.Helper()
	for i := range routerCount {
		w.await(t, fmt.Sprintf("router%d to remove all limits", i), func() bool { return len(w.limitsKnown(t, i)) == 0 })
	}
}

// limitsKnown returns the servers for which a router has a limit, from its state dump.
func (w *world) limitsKnown(t *testing.T, i int) []string {
	c := newCaller(w, "operator", &atomic.Bool{})
	defer c.client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	_, body, err := c.get(ctx, i, operatorsPort, "/debug/state")
	if err != nil {
		t.Errorf("router%d: %v", i, err)
	}
	var state struct {
		Router struct {
			Backends []struct {
				Instance       string
				LimitPerSecond *float64
			}
		} `json:"router"`
	}
	if err := json.Unmarshal([]byte(body), &state); err != nil || len(state.Router.Backends) == 0 {
		t.Fatalf("router%d: dump %.200q: %v", i, body, err)
	}
	var limited []string
	for _, b := range state.Router.Backends {
		if b.LimitPerSecond != nil {
			limited = append(limited, b.Instance)
		}
	}
	return limited
}

// longestLimit is the maximum duration of drawn limits, long enough for some to be binding.
const longestLimit = 9 * time.Second

// oddLimits are the invalid or extreme limits that servers announce besides valid ones.
var oddLimits = []string{"-1", "NaN", "1e3", "", "99999999999999999999"}

// nameLimits draws limits and the servers that announce them until ctx ends. It removes all limits
// at the end.
func nameLimits(ctx context.Context, w *world, seed uint64) {
	r := rand.New(rand.NewPCG(seed, limitSeed))
	for ctx.Err() == nil {
		servers := [][]*backend{w.engines[:1], w.plains[:1], w.engines[1:3], w.plains, w.engines}[r.IntN(5)]
		for _, b := range servers {
			text := strconv.FormatFloat(r.ExpFloat64()*3, 'f', 1, 64)
			if r.IntN(5) == 0 {
				text = oddLimits[r.IntN(len(oddLimits))]
			}
			b.nameLimit(text)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.Int64N(int64(longestLimit)))):
		}
		if r.IntN(3) > 0 { // the next limits replace these
			continue
		}
		w.endLimits()
	}
	w.endLimits()
}

func (w *world) endLimits() {
	for _, b := range w.backends() {
		b.nameLimit("")
	}
}

// nameLimit makes the server announce a limit in its answers, "" for none.
func (b *backend) nameLimit(text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = text
	b.checker.limits.named(b.instance, text)
}

func (b *backend) limitText() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// limits checks the limits of servers.
type limits struct {
	mu      sync.Mutex
	servers map[string]*limitedServer
	// forwarded holds the time at which each router first forwarded an answer with a
	// server's limit.
	forwarded map[forwardedLimit]time.Time
}

type forwardedLimit struct {
	router int
	server string
}

// limitedServer holds the limits of one instance and the requests that reached it.
type limitedServer struct {
	arrivals []limitedArrival
	// named are the limits that it announced, in order.
	named []namedLimit
}

// namedLimit is a limit, or its absence if limited is false, in force from at. It belongs to a
// series of limits that began at first.
type namedLimit struct {
	at, first time.Time
	limited   bool
	perSecond float64
}

type limitedArrival struct {
	at     time.Time
	router int
}

func newLimits() *limits {
	return &limits{servers: map[string]*limitedServer{}, forwarded: map[forwardedLimit]time.Time{}}
}

func (l *limits) server(instance string) *limitedServer {
	s := l.servers[instance]
	if s == nil {
		s = &limitedServer{}
		l.servers[instance] = s
	}
	return s
}

// readableLimit matches valid limits. For the checks here, any other text ends the previous
// limit.
var readableLimit = regexp.MustCompile(`^[0-9]{1,12}(\.[0-9]+)?$`)

func (l *limits) named(instance, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := l.server(instance), time.Now()
	next := namedLimit{at: now, first: now, limited: readableLimit.MatchString(text)}
	if next.limited {
		next.perSecond, _ = strconv.ParseFloat(text, 64) // matched
	}
	if last := len(s.named) - 1; last >= 0 && s.named[last].limited {
		next.first = s.named[last].first
	} else {
		l.clearForwarded(instance)
	}
	s.named = append(s.named, next)
}

// clearForwarded prepares a new series of limits: answers forwarded during the previous series
// don't bind any router.
func (l *limits) clearForwarded(instance string) {
	maps.DeleteFunc(l.forwarded, func(key forwardedLimit, _ time.Time) bool { return key.server == instance })
}

// allowed returns how many requests may reach a server within the window that ends at a time,
// by the largest limit within it, and whether a limit is binding at that time.
func (s *limitedServer) allowed(at time.Time) (most float64, binds bool) {
	for i, n := range s.named {
		over := i+1 < len(s.named) && s.named[i+1].at.Before(at.Add(-limitWindow))
		if n.at.After(at) || over {
			continue
		}
		most = max(most, limitOver*n.perSecond*limitWindow.Seconds()+limitSlack)
		binds = n.limited && !at.Before(n.first.Add(reactionTime))
	}
	return most, binds
}

// arrived records that a request reached a server.
func (l *limits) arrived(instance string, router int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.server(instance)
	s.arrivals = append(s.arrivals, limitedArrival{time.Now(), router})
}

// limitForwarded records that a router forwarded an answer with its server's limit.
func (l *limits) limitForwarded(router int, instance, limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := forwardedLimit{router, instance}
	if _, known := l.forwarded[key]; limit != "" && !known {
		l.forwarded[key] = time.Now()
	}
}

// seriesStart returns the start of the series of limits that is in force at a time.
func (s *limitedServer) seriesStart(at time.Time) time.Time {
	var first time.Time
	for _, n := range s.named {
		if !n.at.After(at) {
			first = n.first
		}
	}
	return first
}

// violations returns the limits that were exceeded. Requests of exempt routers don't count.
func (l *limits) violations(excused func(router int, at time.Time) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var broken []string
	for _, instance := range sortedKeys(l.servers) {
		s := l.servers[instance]
		for _, last := range s.arrivals {
			most, binds := s.allowed(last.at)
			if !binds {
				continue
			}
			if got := l.countWindow(instance, s, last.at, excused); got.exceeds(most) {
				broken = append(broken, fmt.Sprintf("%s, with limits %+v, got %+v within %v; allowed are %d", instance, s.named, got, limitWindow, int(most)))
				break
			}
		}
	}
	return broken
}

// inWindow counts the requests that reached a server within a window: before it announced its
// limit, in transit until its router had to apply the limit, and later.
type inWindow struct{ before, onTheWay, later int }

// exceeds reports whether more requests came than allowed. If the window was already full when
// the limit was announced, only requests in transit may be added to it.
func (n inWindow) exceeds(most float64) bool {
	since := n.onTheWay + n.later
	if float64(since) > most {
		return true
	}
	if float64(n.before) >= most {
		return n.later > 0
	}
	return float64(n.before+since) > most
}

// countWindow counts the requests that reached a server within the window that ends at a time,
// through routers that must have applied its limit by then.
func (l *limits) countWindow(instance string, s *limitedServer, end time.Time, excused func(router int, at time.Time) bool) inWindow {
	var n inWindow
	first := s.seriesStart(end)
	for _, a := range s.arrivals {
		told, knows := l.forwarded[forwardedLimit{a.router, instance}]
		counts := a.at.After(end.Add(-limitWindow)) && !a.at.After(end) && knows && !told.After(end.Add(-forwardGrace))
		switch {
		case !counts || excused(a.router, a.at):
		case a.at.Before(first):
			n.before++
		case a.at.Before(told.Add(forwardGrace)):
			n.onTheWay++
		default:
			n.later++
		}
	}
	return n
}

// exempt reports whether a router was stopped, started, killed or paused within reactionTime.
func (w *world) exempt(router int, at time.Time) bool {
	return w.routers[router].disturbedWithin(at, reactionTime)
}
