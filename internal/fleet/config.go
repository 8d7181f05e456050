// Package fleet defines the data types of request routing and model loading: the
// configuration that operators declare, the known backend servers and the requests for
// them. It is plain data without I/O or clock. Package platform decodes it from the wire;
// packages router and loader make decisions based on it.
package fleet

import "time"

// Kind states whether a request may be run again.
type Kind uint8

// The kinds of a route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Stream requests are answered by server-sent events. They are idempotent
	// only where the route is Resumable.
	Stream
)

// Config is one version of what operators declare.
type Config struct {
	// Version increases with each change, in uneven steps.
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// Accounts are the client accounts. If there are none, callers need no credentials.
	Accounts []Account
}

// Route maps requests of one host name and path prefix to a service.
type Route struct {
	Name string
	// Host is the host name in requests, not a host of the deployment.
	Host   string
	Prefix string
	// Targets share the requests of the route by weight.
	Targets []Target
	Kind    Kind
	// Timeout is the longest time for which a request may remain unanswered.
	Timeout time.Duration
	// Objective is the latency within which an answer, or the first event of a stream, has
	// its full value for the caller.
	Objective time.Duration
	// PauseObjective is the longest pause between two events of a stream that still counts
	// as on time. It is 0 if the route has none.
	PauseObjective time.Duration
	// Priority orders routes, 0 being the highest.
	Priority int
	// MaxAttempts is the number of backend servers to which one request may be sent.
	MaxAttempts int
	// Resumable streams may be continued by another backend server.
	Resumable bool
	// Public routes need no credentials.
	Public bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	// Weight is relative: a service gets its fraction of the sum.
	Weight float64
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConns bounds the connections to one backend server, over all callers.
	MaxConns int
	// ColdPerSecond is how many requests a second a server takes, from all routers together,
	// while it is slow after its start; 0 if there is no such limit.
	ColdPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// KVTokens is the size of one engine's KV cache, in tokens.
	KVTokens int
	// MemoryMB is the memory of one engine for models and adapters.
	MemoryMB float64
	// AdapterSlots is the number of adapters that one engine holds.
	AdapterSlots int
	// StoreLoadsPerSecond limits the loads from the weight store that start per second,
	// over all engines.
	StoreLoadsPerSecond float64
	Models              map[string]Model
	// Backups is set if the engines can copy the KV memory of a running request to each other,
	// and continue it there. CopyLife is how long a copy is kept after its last part, above 0
	// if Backups is set.
	Backups  bool
	CopyLife time.Duration
}

// Model describes a model and its load times.
type Model struct {
	Name     string
	MemoryMB float64
	// StoreLoad, DiskLoad and HostLoad are the durations of an undisturbed load from the
	// weight store, the engine's disk and its host memory.
	StoreLoad, DiskLoad, HostLoad time.Duration
	// AdapterMB is the memory of each of the model's adapters.
	AdapterMB float64
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Bounds are the promises of the deployment that routers and loaders keep.
type Bounds struct {
	// Drain is how long requests may still reach a backend server after it has announced
	// that it shuts down.
	Drain time.Duration
	// ConfigDelay is the longest time between the acceptance of a configuration and its
	// being in force.
	ConfigDelay time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// RetryRatio and RetrySlack limit the retries to a service within RetryWindow, over all
	// routers: ratio x requests + slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// RetryRouters is the largest number of routers that run, 0 if loaders tell it.
	RetryRouters int
	// QuotaWindow, QuotaOver, QuotaSlack: within the window, the cost of an account's
	// requests that run is at most (its rate x window + burst) x (1 + over) + slack.
	QuotaWindow time.Duration
	QuotaOver   float64
	QuotaSlack  float64
	// QuotaRouters is the smallest number of routers that run, 0 if it is not set.
	QuotaRouters int
	// StoreLoadWindow, StoreLoadSlack: at most rate x window x slack loads from the weight
	// store start within the window.
	StoreLoadWindow time.Duration
	StoreLoadSlack  float64
}
