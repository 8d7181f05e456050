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
	// poisonBody is the body of the request that crashes each server that runs it.
	poisonBody = "crash"
	// backAfter is the time from a crash of a server to its restart.
	backAfter = 700 * time.Millisecond
	// reactionTime and lateRetries are the bound required by users: from reactionTime
	// after the third server crashed by a request, it may reach servers at most
	// lateRetries more times.
	reactionTime = 3 * time.Second
	lateRetries  = 3
	// poisonPause is the time between two attempts of its caller.
	poisonPause = 200 * time.Millisecond
	// poisonTries is the number of attempts in each phase of a test.
	poisonTries = 12
	// addresses is the number of source addresses, used in rotation.
	addresses = 12
	// poisonSeed selects the networks of the deployments, distinct from other tests.
	poisonSeed = 77
)

// Guards against a request that crashes one engine after another. Its caller repeats it under
// new ids, from several addresses, to all routers in rotation. If each router treated each
// attempt as a new request, it would crash more and more engines (in one case 12), and users
// would lose their streams and the model there. After three crashes it must not reach further engines, also after a restart
// of one router and then of all routers and loaders; its refusal must not state that nothing
// ran; and all other requests must be served.
func TestPoisonRequestReachesFewServers(t *testing.T) {
	w := newWorld(t, poisonSeed)
	defer w.close()
	p := newPoisonCaller(w)
	stop := w.startCallers(3)
	defer stop()
	w.awaitServed(t)
	p.untilThird(t)
	p.sendAttempts(poisonTries)
	w.startAgain(w.routers[:1])
	p.sendAttempts(poisonTries)
	w.startAgain(w.processes())
	w.awaitServed(t)
	p.sendAttempts(poisonTries)
	w.awaitServed(t)
	stop()
	w.reportPoison(t, poisonSeed)
}

// Guards against the same failure when the third engine crashes while the store does not
// answer. The routers must inform each other, and must keep this state after the engines are
// back in the registry.
func TestPoisonRequestWhileTheStoreIsAway(t *testing.T) {
	w := newWorld(t, poisonSeed+1)
	defer w.close()
	p := newPoisonCaller(w)
	stop := w.startCallers(3)
	defer stop()
	w.awaitServed(t)
	p.untilSecond(t)
	w.store.setMode(storeHangs)
	p.untilThird(t)
	p.sendAttempts(poisonTries)
	w.store.setMode(storeWorks)
	w.awaitServed(t)
	p.sendAttempts(poisonTries)
	stop()
	w.reportPoison(t, poisonSeed+1)
}

// Guards against a router that was paused while attempts at the other routers crashed three
// engines. After it resumes, it must refuse the poison request.
func TestFrozenRouterLearnsOfPoison(t *testing.T) {
	w := newWorld(t, poisonSeed+2)
	defer w.close()
	p := newPoisonCaller(w)
	stop := w.startCallers(1)
	w.awaitServed(t)
	stop()
	frozen := w.routers[0]
	frozen.signal(syscall.SIGSTOP)
	p.skipRouters = 1
	p.untilThird(t)
	frozen.signal(syscall.SIGCONT)
	p.skipRouters = 0
	p.sendAttempts(poisonTries)
	w.reportPoison(t, poisonSeed+2)
}

// Guards against a block that an operator cannot lift, for example after a repair of the
// servers. After the block is lifted at one router, every router must forward the request
// again, so another server crashes.
func TestLiftedRequestIsSentAgain(t *testing.T) {
	w := newWorld(t, poisonSeed+3)
	defer w.close()
	p := newPoisonCaller(w)
	stop := w.startCallers(1)
	defer stop()
	w.awaitServed(t)
	p.until(t, func(*checker) bool { return p.refused >= routerCount })
	ends := w.checker.poisonEnds()
	api := client.New(fmt.Sprintf("http://%s:%d", w.host(1, 0), operatorsPort), "", nil)
	if _, err := api.Lift(t.Context(), "no fingerprint"); err == nil {
		t.Error("lifting succeeded with an invalid fingerprint")
	}
	_, err := api.Lift(t.Context(), p.fingerprint)
	w.check(err)
	p.until(t, func(r *checker) bool { return r.poisonEnds() > ends })
	stop()
	w.quiesce()
	w.report(t, poisonSeed+3, &faults{world: w})
}

// poisonCaller repeats the poison request.
type poisonCaller struct {
	*caller
	sent int
	// skipRouters is the number of first routers that get no attempts.
	skipRouters int
	// refused is the number of attempts refused as poison; fingerprint is the request's
	// fingerprint in the last of these refusals.
	refused     int
	fingerprint string
	// body returns the body of the next attempt. change, if set, changes an attempt before
	// it is sent.
	body   func() string
	change func(request *http.Request)
}

func newPoisonCaller(w *world) *poisonCaller {
	return &poisonCaller{caller: newCaller(w, "poison", &atomic.Bool{}), body: func() string { return poisonBody }}
}

// from returns a transport that uses the n-th source address.
func from(n int) *http.Transport {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+n))}}
	return &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}
}

// untilThird sends attempts until reactionTime after the third server crash.
func (p *poisonCaller) untilThird(t *testing.T) {
	t.Helper()
	p.until(t, func(r *checker) bool { return r.thirdEnd() > reactionTime })
}

func (p *poisonCaller) untilSecond(t *testing.T) {
	t.Helper()
	p.until(t, func(r *checker) bool { return r.poisonEnds() > 1 })
}

func (p *poisonCaller) until(t *testing.T, holds func(*checker) bool) {
	t.Helper()
	for limit := time.Now().Add(waitLimit); !holds(p.world.checker); {
		if time.Now().After(limit) {
			t.Fatalf("%d servers crashed in %d attempts; logs: %s", p.world.checker.poisonEnds(), p.sent, p.world.dir)
		}
		p.sendAttempts(1)
	}
}

func (p *poisonCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.sendAttempts(1)
	}
}

func (p *poisonCaller) sendAttempts(n int) {
	for range n {
		p.sendAttempt()
		time.Sleep(poisonPause)
	}
}

func (p *poisonCaller) sendAttempt() {
	p.sent++
	p.router = p.skipRouters + p.sent%(routerCount-p.skipRouters)
	p.client.Transport = from(p.sent % addresses)
	id := fmt.Sprintf("poison-%d", p.sent)
	a := sentRequest{method: http.MethodPost, path: "/plainstream/poison", body: p.body(), model: modelNames[0], account: steadyAccount, router: p.router}
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	request, err := p.request(ctx, id, steadyKey, a)
	if err != nil {
		p.world.checker.reportViolation("request %s: %v", id, err)
		return
	}
	if p.change != nil {
		p.change(request)
	}
	p.world.checker.requestSent(id, a)
	response, err := p.client.Do(request)
	if err != nil {
		return // its server or router has just stopped
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	p.noteRefusal(body)
	p.checkResponse(id, "plainstream", a, response, string(body), err)
}

func (p *poisonCaller) noteRefusal(body []byte) {
	var refusal struct {
		Code   code.Code `json:"code"`
		Reason string    `json:"reason"`
	}
	if json.Unmarshal(body, &refusal) == nil && refusal.Code == code.PoisonRequest {
		p.refused++
		p.fingerprint = refusal.Reason[strings.LastIndexByte(refusal.Reason, ' ')+1:]
	}
}

// startCallers starts n callers, which call until stop is called.
func (w *world) startCallers(n int) (stop func()) {
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

// startAgain kills processes at the same time and restarts them.
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

// reportPoison checks a world whose callers have stopped.
func (w *world) reportPoison(t *testing.T, seed uint64) {
	t.Helper()
	w.quiesce()
	ends, late := w.checker.poisonEnds(), w.checker.lateRuns(3)
	t.Logf("%d servers crashed; the request reached servers %d times later than %v after the third crash", ends, late, reactionTime)
	if late > lateRetries {
		w.checker.reportViolation("the request reached servers %d times later than %v after the third crash, %d servers crashed in all", late, reactionTime, ends)
	}
	w.report(t, seed, &faults{world: w})
}

// poisoned records that a server starts to run the poison request and will crash.
func (r *checker) poisoned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.poison = append(r.poison, time.Now())
}

func (r *checker) poisonEnds() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.poison)
}

// thirdEnd returns the time since the third server crash, or 0 before it.
func (r *checker) thirdEnd() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.poison) < 3 {
		return 0
	}
	return time.Since(r.poison[2])
}

// lateRuns returns how often such requests reached servers later than reactionTime after a
// number of server crashes.
func (r *checker) lateRuns(crashes int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, at := range r.poison[min(crashes, len(r.poison)):] {
		if at.Sub(r.poison[crashes-1]) > reactionTime {
			n++
		}
	}
	return n
}

// crashAndReturn crashes the server because of a poison request and restarts it after
// backAfter.
func (b *backend) crashAndReturn() {
	b.checker.poisoned()
	b.tasks.Go(func() {
		b.lifecycle.Lock()
		defer b.lifecycle.Unlock()
		b.crash()
		time.Sleep(backAfter)
		if err := b.start(); err != nil {
			b.checker.reportViolation("restart failed: %v", err)
		}
	})
}
