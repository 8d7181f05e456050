package soak

import (
	"context"
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/retrybudget"
	"nutmeglane.example/nutmeglane/internal/retrybudget/retrybudgettest"
)

// This file checks the bound on retries to a service over all routers.

const (
	engineServiceName = "llm"
	plainServiceName  = "records"
)

var (
	// usualRetries is the bound on retries under which most seeds are played.
	usualRetries = retrybudget.Bounds{Window: 10 * time.Second, Ratio: 0.2, Slack: 30}
	// fewRetries is one that failing servers use up.
	fewRetries = retrybudget.Bounds{Window: 10 * time.Second, Ratio: 0.04, Slack: 6}
)

func newRetryLogs(bounds retrybudget.Bounds) map[string]*retrybudgettest.Log {
	return map[string]*retrybudgettest.Log{
		engineServiceName: retrybudgettest.New(bounds),
		plainServiceName:  retrybudgettest.New(bounds),
	}
}

// service returns the service of a request's route.
func (a sentRequest) service() string {
	if a.model != "" {
		return engineServiceName
	}
	return plainServiceName
}

// arrivedAt records that a request reached a server, whether the server runs it or not.
func (r *checker) arrivedAt(service, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries[service].Arrival(clock.Now(), id)
}

// retryViolations lists the services that got more retries than allowed.
func (r *checker) retryViolations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []string
	for _, service := range sortedKeys(r.retries) {
		if worst := r.retries[service].Worst(); worst.Exceeded() {
			broken = append(broken, fmt.Sprintf("service %s: %v", service, worst))
		}
	}
	return broken
}

// retrySummary tells the worst window of each service.
func (r *checker) retrySummary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	summary := ""
	for _, service := range sortedKeys(r.retries) {
		summary += fmt.Sprintf("; %s: %v", service, r.retries[service].Worst())
	}
	return summary
}

// failingTime is for how long servers fail, and for how long they are sound after that.
const failingTime = 3 * time.Second

// Guards against more retries than the bound over all routers allows, by their arrival at the
// servers, while all servers fail most requests during the faults of a seed.
func TestRetriesAmongFaults(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playSeed(newWorldWithBudget(t, seed, fewRetries), seed, failOften) })
	}
}

// failOften lets all servers fail most of what they run, with pauses, until ctx ends.
func failOften(ctx context.Context, w *world, _ uint64) {
	for ctx.Err() == nil {
		for _, fault := range []serverFault{failsOften, noFault} {
			setFaults(w.backends(), fault)
			select {
			case <-ctx.Done():
			case <-time.After(failingTime):
			}
		}
	}
	setFaults(w.backends(), noFault)
}
