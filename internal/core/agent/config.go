package agent

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/defaults"
)

// Config holds the settings of an agent.
type Config struct {
	Host        core.HostID
	Incarnation core.Incarnation
	Zone        core.Zone
	// Address is the "IP:port" at which other processes connect.
	Address string
	Kind    core.BackendKind
	// Service names the plain service when Kind is BackendService.
	Service string
	// Backend is the base URL of the engine as reachable from other hosts.
	Backend string
	// Seed determines the jitter that spreads the unloads of agents whose
	// tenures end together.
	Seed    uint64
	Timings core.Timings
	Limits  Limits
	// Idle decides how long an idle checkpoint stays loaded. Default: an
	// idle.Policy with the prices of the configuration in force.
	Idle IdlePolicy
	// Loads predicts load durations until a load has been measured. Default:
	// DefaultLoadPriors.
	Loads LoadPriors
}

// Limits sets the upper bounds of what an agent holds. A zero field takes its
// default.
type Limits struct {
	// QueueCount and QueueBytes limit the number of waiting requests and the
	// total size of their bodies. Default 1024 and 16 MiB.
	QueueCount int
	QueueBytes int
	// BufferFrames and BufferBytes limit the unacknowledged frames of one
	// answer; above them reading from the backend server pauses. Default 256
	// and 1 MiB.
	BufferFrames int
	BufferBytes  int
	// ResultBytes limits the total size of the retained answers of keyed
	// requests; one answer may take a sixteenth of it. Default 8 MiB.
	ResultBytes int
	// ResultCount limits the number of retained idempotency keys. Default
	// 16384.
	ResultCount int
	// ResultLife is how long the result of a keyed request is retained. Default
	// 10 min.
	ResultLife time.Duration
	// PastCount limits the number of remembered attempts that have ended.
	// Default 65536.
	PastCount int
	// ResumeWindow is how long an attempt continues while its entry is not
	// connected. Default 10 s.
	ResumeWindow time.Duration
	// ReleaseDrain limits how long running requests may delay the release of a
	// slot. Default 2 min.
	ReleaseDrain time.Duration
	// LeaveLimit is the time for a graceful shutdown that begins without a Stop
	// event: the platform lists the host as leaving, or the steward has fenced
	// this incarnation. Default 2 min.
	LeaveLimit time.Duration
	// InventoryInterval is the time between two routine inventories, which
	// detect a restarted engine even if no request arrives. Default 1 min.
	InventoryInterval time.Duration
}

// Fixed durations of the agent.
const (
	// statusInterval is the minimum time between two Status messages.
	statusInterval = 200 * time.Millisecond
	// firstBackoff and maxBackoff limit the wait after failed loads and
	// inventories.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 15 * time.Second
	// minRetryAfter is the minimum Retry-After of a refusal that may be
	// retried.
	minRetryAfter = time.Second
	// pastMargin is how long after its deadline an attempt is remembered. It is
	// four times the period for which a message can be in flight on a broken
	// connection that pings have not detected yet (three times the default
	// PingInterval).
	pastMargin = time.Minute
	// The maximum jitter is UnloadLead/jitterDivisor.
	jitterDivisor = 10
	// The time reserved for unloads after the last requests are cut is the
	// leave limit divided by cutDivisor, at most maxCutReserve.
	cutDivisor    = 10
	maxCutReserve = 5 * time.Second
	// maxRequeues limits how often a request is queued again because the engine
	// did not have its model loaded.
	maxRequeues = 3
	// engineDownFailures is the number of consecutive failed inventories after
	// which requests no longer wait for a load.
	engineDownFailures = 3
	// maxSentReports limits the number of remembered report sending times.
	maxSentReports = 1024
	// The size limit of one retained answer is ResultBytes/resultDivisor.
	resultDivisor = 16
	// Defaults of MaxConcurrent, for a snapshot that does not set it.
	defaultModelConcurrency   = 8
	defaultServiceConcurrency = 16
)

func (c Config) withDefaults() Config {
	if c.Timings == (core.Timings{}) {
		c.Timings = core.DefaultTimings()
	}
	if c.Loads == (LoadPriors{}) {
		c.Loads = DefaultLoadPriors()
	}
	c.Limits = c.Limits.withDefaults()
	return c
}

func (l Limits) withDefaults() Limits {
	defaults.Set(&l.QueueCount, 1024)
	defaults.Set(&l.QueueBytes, 16<<20)
	defaults.Set(&l.BufferFrames, 256)
	defaults.Set(&l.BufferBytes, 1<<20)
	defaults.Set(&l.ResultBytes, 8<<20)
	defaults.Set(&l.ResultCount, 1<<14)
	defaults.Set(&l.ResultLife, 10*time.Minute)
	defaults.Set(&l.PastCount, 1<<16)
	defaults.Set(&l.ResumeWindow, 10*time.Second)
	defaults.Set(&l.ReleaseDrain, 2*time.Minute)
	defaults.Set(&l.LeaveLimit, 2*time.Minute)
	defaults.Set(&l.InventoryInterval, time.Minute)
	return l
}

// backoff returns the wait after the given number of consecutive failures.
func backoff(failures int) time.Duration {
	if failures > 8 {
		return maxBackoff
	}
	return min(firstBackoff<<max(failures-1, 0), maxBackoff)
}
