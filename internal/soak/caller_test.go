package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/code"
)

const (
	// callerDeadline is the maximum time for which callers wait for an answer.
	callerDeadline = 6 * time.Second
	// callerPause is the mean time between two calls of one caller.
	callerPause = 40 * time.Millisecond
	// cancelShare is the share of calls that their caller cancels early.
	cancelShare = 0.05
	// middleParts is the number of second parts of prompts.
	middleParts = 6
	// switchShare is the share of calls before which a caller draws a new router.
	switchShare = 0.1
)

// kindsOfCall are the routes that callers use.
var kindsOfCall = []string{"once", "again", "resumable", "plainstream"}

func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// caller sends calls to changing routers over connections that it keeps open until
// the router closes them.
type caller struct {
	world  *world
	name   string
	client *http.Client
	calls  int
	router int
	// kinds are the routes that it calls.
	kinds []string
	// planned is set while there are only planned faults: then a request that
	// reached a server must get its answer.
	planned *atomic.Bool
}

func newCaller(w *world, name string, planned *atomic.Bool) *caller {
	transport := &http.Transport{DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &caller{world: w, name: name, planned: planned, kinds: kindsOfCall, client: &http.Client{Transport: transport}}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if rand.Float64() < switchShare || !c.ready() {
			c.router = rand.IntN(routerCount)
		}
		c.call(c.kinds[rand.IntN(len(c.kinds))])
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(callerPause)))
	}
}

// ready checks the readiness of the router, as the platform's load balancer does.
// Three of four calls skip the check, as calls on open connections do.
func (c *caller) ready() bool {
	if rand.IntN(4) > 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, _, err := c.get(ctx, c.router, readyPort, "/nutmeglane/ready")
	return err == nil && status == http.StatusOK
}

func (c *caller) get(ctx context.Context, router, port int, path string) (status int, body string, err error) {
	address := fmt.Sprintf("http://%s:%d%s", c.world.host(1, router), port, path)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, "", err
	}
	request.Host = "callers.example"
	response, err := c.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// call makes one call on a route and checks its answer.
func (c *caller) call(kind string) {
	c.calls++
	id := fmt.Sprintf("%s-%d", c.name, c.calls)
	key, account := c.world.drawAccount()
	a := c.describe(kind, id)
	a.account, a.router = account, c.router
	wait := callerDeadline
	leaves := rand.Float64() < cancelShare
	if leaves {
		wait = time.Duration(rand.Int64N(int64(100 * time.Millisecond)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := c.request(ctx, id, key, a)
	if err != nil {
		c.world.checker.reportViolation("request %s: %v", id, err)
		return
	}
	c.world.checker.requestSent(id, a)
	mustAnswer := c.planned.Load() && !leaves
	response, body, err := c.send(request)
	if response != nil {
		c.checkResponse(id, kind, a, response, body, err)
	}
	if err != nil {
		c.connectionLost(mustAnswer, id, kind, err)
	}
}

// describe returns the request of a call on a route. Streams request a model; models
// with low numbers are drawn more often.
func (c *caller) describe(kind, id string) sentRequest {
	a := sentRequest{method: http.MethodPost, path: "/" + kind + "/x?n=" + strconv.Itoa(c.calls), body: "note " + id}
	a.repeatable = kind == "again" || kind == "resumable"
	if kind == "resumable" || kind == "plainstream" {
		a.model = modelNames[min(rand.IntN(len(modelNames)), rand.IntN(len(modelNames)))]
	}
	return a
}

func (c *caller) request(ctx context.Context, id, key string, a sentRequest) (*http.Request, error) {
	address := fmt.Sprintf("http://%s:%d%s", c.world.host(1, c.router), callersPort, a.path)
	request, err := http.NewRequestWithContext(ctx, a.method, address, strings.NewReader(a.body))
	if err != nil {
		return nil, err
	}
	// With GetBody set, the transport could repeat the call.
	request.GetBody = nil
	request.Host = "callers.example"
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("Nutmeglane-Tenant", "forged")
	request.Header.Set("Nutmeglane-Request-Id", id)
	request.Header.Set("Nutmeglane-Deadline-Ms", strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	if a.model != "" {
		request.Header.Set("Nutmeglane-Model", a.model)
		request.Header.Set("Nutmeglane-Token-Count", "40,20")
		// All requests share the first part, some the second one.
		request.Header.Set("Nutmeglane-Prompt-Prefix", fmt.Sprintf("aa:20,b%d:10,%d:10", c.calls%middleParts, c.calls))
	}
	return request, nil
}

// connectionLost checks a call whose connection ended without a complete answer.
// While there are only planned faults, the call must not have reached a server.
// Calls that ended at their deadline are exempt, because servers can cause that: on a machine
// that stands still the router's end of the answer may arrive before the caller notices that
// its time is over.
func (c *caller) connectionLost(mustAnswer bool, id, kind string, err error) {
	timeOver := errors.Is(err, context.DeadlineExceeded) || time.Since(c.world.checker.whenSent(id)) >= callerDeadline
	if mustAnswer && c.planned.Load() && !timeOver && c.world.checker.hasRun(id) && !c.endedWithItsRouter(id) {
		c.world.checker.reportViolation("%s (%s) reached a server but its connection ended: %v", id, kind, err)
	}
}

// checkResponse compares an answer with the expected answer of a server.
func (c *caller) checkResponse(id, kind string, a sentRequest, response *http.Response, body string, cut error) {
	stream := a.model != ""
	r := c.world.checker
	status := response.StatusCode
	if got := response.Header.Get("Nutmeglane-Request-Id"); got != id {
		r.reportViolation("%s got the answer of %q: %d", id, got, status)
	}
	sealed := response.Header.Get("Nutmeglane-Server-Seal")
	server := response.Header.Get("Nutmeglane-Instance-Id")
	r.limits.limitForwarded(a.router, server, response.Header.Get("Server-Limit"))
	if response.Header.Get("Server-Leaving") != "" {
		r.announcements.drainingForwarded(path{a.router, server})
	}
	if status == http.StatusOK && cut == nil && !r.hasCompleted(id) {
		r.reportViolation("%s got an answer as complete, but each answer of a server broke off: %q", id, body)
	}
	switch {
	case refusedAsPoison(body) && !strings.HasPrefix(id, "poison"):
		r.reportViolation("%s is a healthy request and was refused as poison: %s", id, body)
	case status == http.StatusOK && sealed != "seal-"+id:
		r.reportViolation("%s got a success with the seal %q", id, sealed)
	case status == http.StatusOK && stream:
		c.checkStream(id, body, cut, kind)
	case status == http.StatusOK && cut == nil && body != plainBody(id):
		r.reportViolation("%s got %q", id, body)
	case status == http.StatusOK && cut == nil:
		r.callServed(kind)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest:
		r.refusedNotRun(id, strconv.Itoa(status))
	case status == http.StatusUnauthorized:
		if a.account == steadyAccount || a.account == busyAccount {
			r.reportViolation("%s got 401 with a key of all configurations", id)
		}
		r.refusedNotRun(id, strconv.Itoa(status))
	case status == http.StatusNotFound:
		r.reportViolation("%s got 404 for a route of all configurations", id)
	case sealed != "" && status != http.StatusInternalServerError:
		r.reportViolation("%s got the status %d with the seal of a server that answered 500", id, status)
	}
}

// refusedAsPoison reports whether a router's own answer says that servers ended under the request
// or a part of its prompt.
func refusedAsPoison(body string) bool {
	return strings.Contains(body, code.PoisonRequest.String()) || strings.Contains(body, code.PoisonPart.String())
}

// checkStream checks that a stream consists of all events in order, or of the first
// ones if it was interrupted.
func (c *caller) checkStream(id, body string, cut error, kind string) {
	release, one := releaseOf(body)
	var whole strings.Builder
	for n := 1; n <= events; n++ {
		whole.WriteString(event(id, n, release))
	}
	switch {
	case !one:
		c.world.checker.reportViolation("%s got events of several releases: %q", id, body)
	case cut == nil && body != whole.String():
		c.world.checker.reportViolation("%s got a stream that ended as complete: %q", id, body)
	case body != "" && !strings.HasSuffix(body, "\n\n"):
		c.world.checker.reportViolation("%s got a part of an event: %q", id, body)
	case !strings.HasPrefix(whole.String(), body):
		c.world.checker.reportViolation("%s got other events: %q", id, body)
	case cut == nil:
		c.world.checker.callServed(kind)
	}
}
