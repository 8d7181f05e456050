package soak

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/retrybudget"
	"nutmeglane.example/nutmeglane/internal/retrybudget/retrybudgettest"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// sentRequest is a request as its caller sent it.
type sentRequest struct {
	method, path, body, model string
	// account is the account that the server must receive, "" for an unknown key, whose
	// request must not run. shown are the credentials that a server received; there must
	// be none.
	account, shown string
	// router is the index of the router that received the request.
	router int
	// repeatable requests may run more than once.
	repeatable bool
}

// checker compares the requests and answers of callers with the runs on backend
// servers. Requests are identified by their ids.
type checker struct {
	mu    sync.Mutex
	asked map[string]sentRequest
	// sentAt is when callers sent their requests.
	sentAt map[string]time.Time
	runs   map[string]int
	// notRun holds the statuses of requests that were refused as not run.
	notRun map[string]string
	// completed holds the requests to which a server sent a complete answer.
	completed map[string]bool
	// cuts is the number of answers that broke off.
	cuts     int
	served   map[string]int
	recorded []string
	// poison holds the times at which servers started to run the poison request.
	poison []time.Time
	// sent holds the times at which requests of the busy account were sent; busyRuns are
	// the first runs of these requests.
	sent     map[string]time.Time
	busyRuns []use
	// copies are the copies of runs. continuedRuns counts how often a run continued from one.
	copies        *runCopies
	continuedRuns map[string]int
	// limits checks the requests that reach servers with a limit.
	limits *limits
	// announcements checks the requests that reach servers that announced that they want
	// none.
	announcements *announcements
	// retries checks the retries to each service over all routers.
	retries map[string]*retrybudgettest.Log
}

func newChecker(retries retrybudget.Bounds) *checker {
	return &checker{asked: map[string]sentRequest{}, sentAt: map[string]time.Time{}, runs: map[string]int{}, continuedRuns: map[string]int{}, copies: newCopies(), notRun: map[string]string{}, completed: map[string]bool{}, served: map[string]int{}, sent: map[string]time.Time{}, limits: newLimits(), announcements: newAnnouncements(), retries: newRetryLogs(retries)}
}

func (r *checker) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorded = append(r.recorded, fmt.Sprintf(format, args...))
}

func (r *checker) requestSent(id string, a sentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked[id], r.sentAt[id] = a, time.Now()
	r.retries[a.service()].Request(clock.Now())
	if a.account == busyAccount {
		r.sent[id] = time.Now()
	}
}

// runStarted records that a backend server starts to run a request, and checks that the
// request is the one that its caller sent.
func (r *checker) runStarted(server, id string, got sentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	want := r.checkSent(server, id, got)
	r.runs[id]++
	if want.account == busyAccount && r.runs[id] == 1 {
		r.busyRuns = append(r.busyRuns, use{sent: r.sent[id], began: time.Now(), tokens: want.tokens()})
	}
}

// checkSent checks that a request which a server runs is the one that its caller sent, and returns
// that. The caller holds r.mu.
func (r *checker) checkSent(server, id string, got sentRequest) sentRequest {
	want, known := r.asked[id]
	got.repeatable, got.router = want.repeatable, want.router
	switch {
	case !known:
		r.recorded = append(r.recorded, fmt.Sprintf("%s ran %q, which no caller sent", server, id))
	case want.account == "":
		r.recorded = append(r.recorded, fmt.Sprintf("%s ran %s, whose key is unknown", server, id))
	case got != want:
		r.recorded = append(r.recorded, fmt.Sprintf("%s ran %s as %+v, sent was %+v", server, id, got, want))
	}
	return want
}

// arrived records that a request reached a server through its router.
func (r *checker) arrived(server, id string) {
	r.mu.Lock()
	want, sentAt := r.asked[id], r.sentAt[id]
	r.mu.Unlock()
	r.limits.arrived(server, want.router)
	r.announcements.arrived(path{want.router, server}, sentAt)
}

// whenSent returns when a caller sent a request.
func (r *checker) whenSent(id string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentAt[id]
}

func (r *checker) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id] > 0
}

// refusedNotRun records an answer by which the request did not and will not run.
func (r *checker) refusedNotRun(id, status string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notRun[id] = status
}

// answerCompleted records that a server sends the last bytes of a complete answer.
func (r *checker) answerCompleted(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed[id] = true
}

// answerCut records that a server breaks an answer off.
func (r *checker) answerCut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts++
}

func (r *checker) cutAnswers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts
}

func (r *checker) hasCompleted(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completed[id]
}

func (r *checker) callServed(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served[kind]++
}

// requests returns the number of requests that callers sent.
func (r *checker) requests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.asked)
}

// counts returns the number of served requests of each kind.
func (r *checker) counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.served)
}

// busiest returns the maximum number of tokens of the busy account within a window.
func (r *checker) busiest() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return worstWindow(r.busyRuns)
}

// violations returns all violations found so far. The result is final once no request
// can run.
func (r *checker) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := slices.Clone(r.recorded)
	for _, id := range sortedKeys(r.runs) {
		if r.runs[id] > 1 && !r.asked[id].repeatable {
			broken = append(broken, fmt.Sprintf("%s ran %d times", id, r.runs[id]))
		}
		if status, ok := r.notRun[id]; ok {
			broken = append(broken, fmt.Sprintf("%s was refused as not run (%s) but ran", id, status))
		}
	}
	return broken
}
