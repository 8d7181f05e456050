package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/operator/client"
)

const (
	// poisonBody is the body of the request that crashes each server which runs it.
	poisonBody = "crash"
	// backAfter is how long after a crash the server is back.
	backAfter = 700 * time.Millisecond
	// contact is the users' bound: so long after the third server ended under a
	// request, no more than lateRetries of it may reach servers.
	contact     = 3 * time.Second
	lateRetries = 3
	// poisonPause is the time between two tries of its caller.
	poisonPause = 200 * time.Millisecond
	// poisonTries is how often it comes after each phase of the test.
	poisonTries = 12
	// addresses is from how many the request comes in turn.
	addresses = 12
	// poisonSeed is the network of the worlds, apart from those of other tests.
	poisonSeed = 77
)

// One caller's request crashes each engine that runs it. The caller sends it again and
// again under new ids, from several addresses, to all routers in turn. Users saw their streams break and their
// model gone from one engine after the other, twelve in all: each router judged each
// try as a new request. From the third engine on it must reach no further one: also
// after a router, and then all routers and loaders, have started again; and its
// refusal must not promise that nothing ran. All others are served.
func TestPoisonRequestReachesFewServers(t *testing.T) {
	w := newWorld(t, poisonSeed)
	defer w.close()
	p := newPoisoner(w)
	stop := w.callBeside(3)
	defer stop()
	w.awaitServed(t)
	p.untilThird(t)
	p.tries(poisonTries)
	w.startAgain(w.routers[:1])
	p.tries(poisonTries)
	w.startAgain(w.processes())
	w.awaitServed(t)
	p.tries(poisonTries)
	w.awaitServed(t)
	stop()
	w.reportPoison(t, poisonSeed)
}

// The same, and the third engine ends while the store does not answer: the routers tell
// each other, and know it still when the engines are back in the registry.
func TestPoisonRequestWhileTheStoreIsAway(t *testing.T) {
	w := newWorld(t, poisonSeed+1)
	defer w.close()
	p := newPoisoner(w)
	stop := w.callBeside(3)
	defer stop()
	w.awaitServed(t)
	p.untilSecond(t)
	w.store.setMode(storeHangs)
	p.untilThird(t)
	p.tries(poisonTries)
	w.store.setMode(storeWorks)
	w.awaitServed(t)
	p.tries(poisonTries)
	stop()
	w.reportPoison(t, poisonSeed+1)
}

// One router is frozen while three engines end under tries at the others. Once it runs
// again it knows what they told meanwhile.
func TestFrozenRouterLearnsOfPoison(t *testing.T) {
	w := newWorld(t, poisonSeed+2)
	defer w.close()
	p := newPoisoner(w)
	stop := w.callBeside(1)
	w.awaitServed(t)
	stop()
	frozen := w.routers[0]
	frozen.signal(syscall.SIGSTOP)
	p.leaveOut = 1
	p.untilThird(t)
	frozen.signal(syscall.SIGCONT)
	p.leaveOut = 0
	p.tries(poisonTries)
	w.reportPoison(t, poisonSeed+2)
}

// An operator has mended the servers, or knows better. Lifted at one router, the request
// is sent again, whichever router it comes to: a further server ends.
func TestLiftedRequestIsSentAgain(t *testing.T) {
	w := newWorld(t, poisonSeed+3)
	defer w.close()
	p := newPoisoner(w)
	stop := w.callBeside(1)
	defer stop()
	w.awaitServed(t)
	p.until(t, func(*referee) bool { return p.refused >= routerCount })
	ends := w.referee.poisonEnds()
	api := client.New(fmt.Sprintf("http://%s:%d", w.host(1, 0), operatorsPort), "", nil)
	if _, err := api.Lift(t.Context(), "no fingerprint"); err == nil {
		t.Error("lifted what is no fingerprint")
	}
	_, err := api.Lift(t.Context(), p.fingerprint)
	w.check(err)
	p.until(t, func(r *referee) bool { return r.poisonEnds() > ends })
	stop()
	w.quiesce()
	w.report(t, poisonSeed+3, &faults{world: w})
}

// poisoner sends the same request again and again.
type poisoner struct {
	*caller
	sent int
	// leaveOut is how many routers, the first ones, get no tries.
	leaveOut int
	// refused is how many tries were refused as poison, fingerprint what the last of
	// these refusals called the request.
	refused     int
	fingerprint string
}

func newPoisoner(w *world) *poisoner {
	return &poisoner{caller: newCaller(w, "poison", &atomic.Bool{})}
}

// from returns a transport that calls from one of several addresses.
func from(n int) *http.Transport {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+n))}}
	return &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}
}

// untilThird tries until three servers have ended, and then until contact is over.
func (p *poisoner) untilThird(t *testing.T) {
	t.Helper()
	p.until(t, func(r *referee) bool { return r.thirdEnd() > contact })
}

func (p *poisoner) untilSecond(t *testing.T) {
	t.Helper()
	p.until(t, func(r *referee) bool { return r.poisonEnds() > 1 })
}

func (p *poisoner) until(t *testing.T, holds func(*referee) bool) {
	t.Helper()
	for limit := time.Now().Add(hangGuard); !holds(p.world.referee); {
		if time.Now().After(limit) {
			t.Fatalf("%d servers ended in %d tries; logs: %s", p.world.referee.poisonEnds(), p.sent, p.world.dir)
		}
		p.tries(1)
	}
}

func (p *poisoner) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.tries(1)
	}
}

func (p *poisoner) tries(n int) {
	for range n {
		p.try()
		time.Sleep(poisonPause)
	}
}

func (p *poisoner) try() {
	p.sent++
	p.router = p.leaveOut + p.sent%(routerCount-p.leaveOut)
	p.client.Transport = from(p.sent % addresses)
	id := fmt.Sprintf("poison-%d", p.sent)
	a := asked{method: http.MethodPost, path: "/plainstream/poison", body: poisonBody, model: modelNames[0], account: steadyAccount, router: p.router}
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	request, err := p.request(ctx, id, steadyKey, a)
	if err != nil {
		p.world.referee.breaks("request %s: %v", id, err)
		return
	}
	p.world.referee.sends(id, a)
	response, err := p.client.Do(request)
	if err != nil {
		return // its server or router has just ended
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	p.noteRefusal(body)
	p.judge(id, "plainstream", a, response, string(body), err)
}

func (p *poisoner) noteRefusal(body []byte) {
	var refusal struct {
		Code   code.Code `json:"code"`
		Reason string    `json:"reason"`
	}
	if json.Unmarshal(body, &refusal) == nil && refusal.Code == code.PoisonRequest {
		p.refused++
		p.fingerprint = refusal.Reason[strings.LastIndexByte(refusal.Reason, ' ')+1:]
	}
}

// callBeside lets callers call until the function that it returns is called.
func (w *world) callBeside(n int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	for i := range n {
		c := newCaller(w, fmt.Sprintf("c%d", i), &atomic.Bool{})
		calling.Go(func() { c.run(ctx) })
	}
	return func() {
		cancel()
		calling.Wait()
	}
}

// startAgain kills processes at once and starts them again.
func (w *world) startAgain(all []*process) {
	w.t.Helper()
	var ending sync.WaitGroup
	for _, p := range all {
		ending.Go(func() { p.end(syscall.SIGKILL) })
	}
	ending.Wait()
	for _, p := range all {
		w.check(p.start())
	}
}

// reportPoison judges a world whose callers have stopped.
func (w *world) reportPoison(t *testing.T, seed uint64) {
	t.Helper()
	w.quiesce()
	ends, late := w.referee.poisonEnds(), w.referee.lateRuns()
	t.Logf("%d servers ended, the request reached them %d times later than %v after the third", ends, late, contact)
	if late > lateRetries {
		w.referee.breaks("the request reached servers %d times later than %v after the third had ended, %d ended in all", late, contact, ends)
	}
	w.report(t, seed, &faults{world: w})
}

// poisoned notes that a server begins to run the poison request, and will end.
func (r *referee) poisoned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.poison = append(r.poison, time.Now())
}

func (r *referee) poisonEnds() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.poison)
}

// thirdEnd is how long ago the third server ended, 0 before.
func (r *referee) thirdEnd() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.poison) < 3 {
		return 0
	}
	return time.Since(r.poison[2])
}

// lateRuns is how often the request reached servers later than contact after the third
// had ended.
func (r *referee) lateRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, at := range r.poison[min(3, len(r.poison)):] {
		if at.Sub(r.poison[2]) > contact {
			n++
		}
	}
	return n
}

// crashAndReturn ends the server under a poison request, and starts it again later.
func (b *backend) crashAndReturn() {
	b.referee.poisoned()
	b.tasks.Go(func() {
		b.turn.Lock()
		defer b.turn.Unlock()
		b.crash()
		time.Sleep(backAfter)
		if err := b.start(); err != nil {
			b.referee.breaks("not started again: %v", err)
		}
	})
}
