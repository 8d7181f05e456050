package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// The bounds on announcements required by users: a request that its caller sent later
	// than drain after a router forwarded an answer that announced draining may not reach
	// that server from that router. From backoffGrace after a server wanted a backoff until
	// its end, at most backoffSlack requests may reach it from that router.
	backoffGrace = 500 * time.Millisecond
	backoffSlack = 2
	// announcementSeed selects the networks of the deployments, distinct from other tests.
	announcementSeed = 74
)

// Guards against requests to servers that announced in their answers that they are draining,
// while the registry lists them as ready: the bound of a router begins with the answer that it
// forwards, and callers lose what still runs there when the server exits.
func TestAnnouncedDrainingHolds(t *testing.T) {
	w := newWorld(t, announcementSeed)
	defer w.close()
	stop := w.startCallers(callers)
	defer stop()
	w.awaitServed(t)
	w.engines[0].announceLeave()
	w.plains[0].announceLeave()
	w.awaitElapsed(t, drain+2*time.Second)
	w.awaitServed(t)
	stop()
	w.quiesce()
	w.report(t, announcementSeed, &faults{world: w})
}

// Guards against requests to servers that turn requests away and want a backoff: they arrive
// at the rate of before, none of them is served, and the servers don't recover. When the
// backoff has ended, the servers must get requests again.
func TestAnnouncedBackoffHolds(t *testing.T) {
	w := newWorld(t, announcementSeed+1)
	defer w.close()
	stop := w.startCallers(callers)
	defer stop()
	w.awaitServed(t)
	const turnsAway = 5 * time.Second
	w.engines[0].wantBackoff("2.5", turnsAway)
	w.plains[0].wantBackoff("2.5", turnsAway)
	w.awaitElapsed(t, turnsAway)
	w.awaitServed(t)
	for _, b := range []*backend{w.engines[0], w.plains[0]} {
		before := w.checker.announcements.count(b.registered())
		w.await(t, b.name+" to get requests again", func() bool { return w.checker.announcements.count(b.registered()) > before })
	}
	stop()
	w.quiesce()
	w.report(t, announcementSeed+1, &faults{world: w})
}

func (w *world) awaitElapsed(t *testing.T, d time.Duration) {
	t.Helper()
	until := time.Now().Add(d)
	w.await(t, "the bounds to apply", func() bool { return time.Now().After(until) })
}

const (
	// longestAnnounced is the maximum time between an announcement of draining and the end
	// of the server, longer than the bound.
	longestAnnounced = 2 * drain
	// longestBackoff is the maximum time for which a server turns requests away.
	longestBackoff = 4 * time.Second
)

// oddBackoffs are invalid or extreme backoffs that servers want besides valid ones.
var oddBackoffs = []string{"0", "-1", "NaN", "", "Fri, 31 Dec 1999 23:59:59 GMT"}

// announce draws servers that announce that they want no requests until ctx ends.
func announce(ctx context.Context, w *world, seed uint64) {
	r := rand.New(rand.NewPCG(seed, announcementSeed))
	var ending sync.WaitGroup
	defer ending.Wait()
	for ctx.Err() == nil {
		servers := [][]*backend{w.engines[:1], w.plains[:1], w.engines[1:3], w.plains, w.engines}[r.IntN(5)]
		lasts := time.Duration(r.Int64N(int64(longestAnnounced)))
		leaves, crashes := r.IntN(3) == 0, r.IntN(2) == 0
		text := strconv.FormatFloat(0.1+r.ExpFloat64(), 'f', 2, 64)
		if r.IntN(5) == 0 {
			text = oddBackoffs[r.IntN(len(oddBackoffs))]
		}
		for _, b := range servers {
			if leaves {
				ending.Go(func() { w.announceAndLeave(b, lasts, crashes) })
			} else {
				b.wantBackoff(text, min(lasts, longestBackoff))
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.Int64N(int64(longestAnnounced)))):
		}
	}
}

// announceAndLeave makes a server announce draining in its answers alone and, after the given
// time, end without or with a word to the registry. A new instance takes its place.
func (w *world) announceAndLeave(b *backend, lasts time.Duration, crashes bool) {
	b.lifecycle.Lock()
	defer b.lifecycle.Unlock()
	b.announceLeave()
	time.Sleep(lasts)
	if crashes {
		b.crash()
	} else {
		b.leave()
	}
	if err := b.start(); err != nil {
		w.checker.reportViolation("restart failed: %v", err)
	}
}

// announceLeave makes the server announce in its answers that it is draining. Its registry
// entry stays ready.
func (b *backend) announceLeave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announcesDraining = true
}

// wantBackoff makes the server turn requests away and want a backoff for some time.
func (b *backend) wantBackoff(text string, lasts time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoff, b.backoffEnds = text, time.Now().Add(lasts)
}

// announceDraining sets the header of an answer of a server that announces draining.
func (b *backend) announceDraining(header http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.announcesDraining {
		header.Set("Server-Leaving", "1")
	}
}

// turnAway answers a request that the server does not want, and reports whether it has.
func (b *backend) turnAway(w http.ResponseWriter, instance, id string) bool {
	b.mu.Lock()
	text, wants := b.backoff, time.Now().Before(b.backoffEnds)
	b.mu.Unlock()
	if !wants {
		return false
	}
	b.checker.backoffWanted(instance, id, text)
	w.Header().Set("Retry-After", text)
	refuseRun(w, http.StatusServiceUnavailable)
	return true
}

// backoffWanted records that a server turned a request away.
func (r *checker) backoffWanted(server, id, text string) {
	r.mu.Lock()
	router := r.asked[id].router
	r.mu.Unlock()
	seconds, err := strconv.ParseFloat(text, 64)
	if err == nil && seconds > 0 {
		r.announcements.backoffWanted(path{router, server}, time.Duration(seconds*float64(time.Second)))
	}
}

// path is a router and a server to which it sends requests.
type path struct {
	router int
	server string
}

// span is a period of time.
type span struct{ from, until time.Time }

// arrival is a request that reached a server.
type arrival struct{ sent, at time.Time }

// announcements checks that servers get no requests that they announced not to want.
type announcements struct {
	mu       sync.Mutex
	arrivals map[path][]arrival
	// draining is when a caller first received an answer that announced draining.
	draining map[path]time.Time
	backoffs map[path][]span
	// disturbed holds the disturbances of links by name.
	disturbed map[string][]span
}

func newAnnouncements() *announcements {
	return &announcements{
		arrivals: map[path][]arrival{}, draining: map[path]time.Time{}, backoffs: map[path][]span{}, disturbed: map[string][]span{},
	}
}

func (a *announcements) arrived(p path, sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrivals[p] = append(a.arrivals[p], arrival{sent, time.Now()})
}

// count returns how many requests have reached a server.
func (a *announcements) count(server string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for p, arrivals := range a.arrivals {
		if p.server == server {
			n += len(arrivals)
		}
	}
	return n
}

func (a *announcements) drainingForwarded(p path) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.draining[p]; !known {
		a.draining[p] = time.Now()
	}
}

func (a *announcements) backoffWanted(p path, period time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.backoffs[p] = append(a.backoffs[p], span{now, now.Add(period)})
}

func (a *announcements) linkDisturbed(link string, lasts time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.disturbed[link] = append(a.disturbed[link], span{now, now.Add(lasts)})
}

// violations returns the announcements that were not respected. A router that was disturbed
// since the announcement is excused, and for a backoff also one whose link to the server was.
func (a *announcements) violations(disturbed func(router int, s span) bool) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var broken []string
	for p, arrivals := range a.arrivals {
		if told, known := a.draining[p]; known {
			late := func(r arrival) bool { return r.sent.After(told.Add(drain)) && !disturbed(p.router, span{told, r.at}) }
			if n := len(slices.DeleteFunc(slices.Clone(arrivals), func(r arrival) bool { return !late(r) })); n > 0 {
				broken = append(broken, fmt.Sprintf("router%d sent %d requests to %s, which had announced draining, after the bound", p.router, n, p.server))
			}
		}
		for _, s := range a.backoffs[p] {
			within := func(r arrival) bool { return r.at.After(s.from.Add(backoffGrace)) && r.at.Before(s.until) }
			n := len(slices.DeleteFunc(slices.Clone(arrivals), func(r arrival) bool { return !within(r) }))
			if n > backoffSlack && !disturbed(p.router, s) && !a.linkWasDisturbed(p.server, s) {
				broken = append(broken, fmt.Sprintf("router%d sent %d requests to %s within a backoff of %v", p.router, n, p.server, s.until.Sub(s.from)))
				break
			}
		}
	}
	return broken
}

// linkWasDisturbed reports whether the link to a server was disturbed during a period.
func (a *announcements) linkWasDisturbed(server string, s span) bool {
	name := server[:strings.LastIndexByte(server, '-')]
	return slices.ContainsFunc(a.disturbed[name], func(d span) bool { return d.from.Before(s.until) && d.until.After(s.from) })
}

// disturbedBetween reports whether a router was started or got a signal during a period.
func (w *world) disturbedBetween(router int, s span) bool {
	return w.routers[router].disturbedWithin(s.until, s.until.Sub(s.from))
}
