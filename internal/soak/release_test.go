package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// firstRelease is the release of all engines at first. Later instances draw one of
	// softwareReleases.
	firstRelease = "v1"
	// releaseMark precedes the release in the data of an event.
	releaseMark = "@"
	// takers is the number of callers who take up streams that broke off, takeUps how often
	// each does so for one stream.
	takers  = 10
	takeUps = 3
	// takeUpPause is the pause before a stream is taken up again.
	takeUpPause = 50 * time.Millisecond
	// releasePause is the time between two restarts of engines.
	releasePause = 700 * time.Millisecond
)

var softwareReleases = []string{"v1", "v2", "v3"}

// Guards against streams joined from several releases of the engines' software, in one answer and
// over a caller's tries at several routers, during the faults of a seed. Engines break answers off,
// and each instance that starts draws its release.
func TestReleasesAmongFaults(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed, takeUpStreams) })
	}
}

// drawRelease returns the release of a new instance. The caller holds b.mu.
func (b *backend) drawRelease() string {
	if !b.severalReleases {
		return firstRelease
	}
	return softwareReleases[rand.IntN(len(softwareReleases))]
}

// takeUpStreams lets releases differ, and callers take up streams that broke off, until ctx ends.
func takeUpStreams(ctx context.Context, w *world, seed uint64) {
	for _, b := range w.engines {
		b.mu.Lock()
		b.severalReleases = true
		b.mu.Unlock()
	}
	var calling sync.WaitGroup
	var counts takeUpCounts
	calling.Go(func() { breakAnswers(ctx, w, seed) })
	calling.Go(func() { w.changeReleases(ctx) })
	for i := range takers {
		c := newCaller(w, fmt.Sprintf("taker%d", i), nil)
		calling.Go(func() { c.takeStreams(ctx, &counts) })
	}
	calling.Wait()
	w.t.Logf("of %d tries that take a stream up %d went on, %d were refused as unknown and %d as of a release that is gone",
		counts.tries, counts.wentOn, counts.unknown, counts.gone)
}

// changeReleases restarts engines, one after the other, until ctx ends.
func (w *world) changeReleases(ctx context.Context) {
	for ctx.Err() == nil {
		b := w.engines[rand.IntN(len(w.engines))]
		b.lifecycle.Lock()
		b.crash()
		if err := b.start(); err != nil {
			w.checker.reportViolation("restart failed: %v", err)
		}
		b.lifecycle.Unlock()
		time.Sleep(releasePause)
	}
}

// takeUpCounts are the outcomes of tries that take a stream up.
type takeUpCounts struct {
	mu                           sync.Mutex
	tries, wentOn, unknown, gone int
}

func (n *takeUpCounts) add(status int, body string, received int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tries++
	switch {
	case status == http.StatusOK && received > 0:
		n.wentOn++
	case strings.Contains(body, "UnknownOrigin"):
		n.unknown++
	case strings.Contains(body, "ReleaseGone"):
		n.gone++
	}
}

// takeStreams requests streams and takes up those that break off, each time at another router.
func (c *caller) takeStreams(ctx context.Context, counts *takeUpCounts) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.takeStream(counts)
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(callerPause)))
	}
}

// takeStream requests one stream until it is whole, and checks that its events come once each, in
// order, and from one release.
func (c *caller) takeStream(counts *takeUpCounts) {
	var began, got string
	last := 0
	a := c.describe("resumable", fmt.Sprintf("%s-%d", c.name, c.calls+1))
	for try := 0; try <= takeUps && last < events; try++ {
		c.router = (c.router + 1 + rand.IntN(routerCount-1)) % routerCount
		id, status, body := c.tryStream(a, began, last)
		part := wholeEvents(body)
		received := strings.Count(part, "\n\n")
		if last > 0 {
			counts.add(status, body, received)
		}
		if status != http.StatusOK || received == 0 {
			time.Sleep(takeUpPause)
			continue
		}
		if began == "" {
			began = id
		}
		got += strings.ReplaceAll(part, id+"/", began+"/")
		last += received
	}
	c.checkTaken(began, got, last)
}

// checkTaken checks the events that a caller has of a stream.
func (c *caller) checkTaken(began, got string, last int) {
	release, one := releaseOf(got)
	var want strings.Builder
	for n := 1; n <= last; n++ {
		want.WriteString(event(began, n, release))
	}
	switch {
	case !one:
		c.world.checker.reportViolation("%s was joined from several releases: %q", began, got)
	case got != want.String():
		c.world.checker.reportViolation("%s has other events: %q", began, got)
	}
}

// tryStream sends a request for a stream, or for the rest of one after an event, and returns what
// came of it.
func (c *caller) tryStream(a sentRequest, began string, last int) (id string, status int, body string) {
	c.calls++
	id = fmt.Sprintf("%s-%d", c.name, c.calls)
	a.account, a.router = steadyAccount, c.router
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	request, err := c.request(ctx, id, steadyKey, a)
	if err != nil {
		return id, 0, ""
	}
	if began != "" {
		request.Header.Set("Last-Event-Id", strconv.Itoa(last))
		request.Header.Set("Resumes", began)
	}
	c.world.checker.requestSent(id, a)
	response, err := c.client.Do(request)
	if err != nil {
		return id, 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body) // a break shows in what is missing
	return id, response.StatusCode, string(data)
}

// wholeEvents returns the complete events of a stream.
func wholeEvents(body string) string {
	return body[:strings.LastIndex("\n\n"+body, "\n\n")]
}

// releaseOf returns the release of a stream's events, and whether they have only one.
func releaseOf(body string) (release string, one bool) {
	for line := range strings.Lines(wholeEvents(body)) {
		_, found, ok := strings.Cut(strings.TrimSuffix(line, "\n"), releaseMark)
		if !ok {
			continue
		}
		if release != "" && found != release {
			return "", false
		}
		release = found
	}
	return release, true
}
