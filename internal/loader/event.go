package loader

import (
	"log/slog"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// Event is an input of the reducer.
type Event interface{ event() }

// Tick reports that a time requested by Wake has come.
type Tick struct{}

// ReportRead is the result of reading the engine's report, or the error.
type ReportRead struct {
	Report fleet.Report
	Err    error
}

// OrderDone is the result of an order.
type OrderDone struct {
	Order fleet.Order
	fleet.OrderAnswer
	Err error
}

// RouterUp and RouterDown report that a router connected or disconnected.
type (
	RouterUp   struct{ Router core.HostID }
	RouterDown struct{ Router core.HostID }
)

// DemandReceived is a router's demand.
type DemandReceived struct {
	Router core.HostID
	Demand core.Demand
}

// OriginsTold delivers the releases that began streams of a router.
type OriginsTold struct{ News core.OriginNews }

// OriginAsked delivers a router's question which release began a stream.
type OriginAsked struct {
	Router core.HostID
	Query  core.OriginQuery
}

// RegistryNewsReceived is a change of the registry that a router wants forwarded to the
// others.
type RegistryNewsReceived struct {
	Router core.HostID
	News   core.RegistryNews
}

// ConfigSpreadReceived is a configuration that a router wants forwarded to a part of the
// others.
type ConfigSpreadReceived struct {
	Router core.HostID
	Spread core.ConfigSpread
}

// DigestReceived is a load digest that a router wants forwarded.
type DigestReceived struct {
	Router core.HostID
	Digest core.LoadDigest
}

// DrainingReceived is news of a draining server that a router wants forwarded.
type DrainingReceived struct {
	Router core.HostID
	News   core.ServerDraining
}

// PoisonNewsReceived is news of poison requests that a router wants forwarded.
type PoisonNewsReceived struct {
	Router core.HostID
	News   core.PoisonNews
}

// QuotaRequested is a router's request for tokens of client accounts.
type QuotaRequested struct {
	Router  core.HostID
	Request core.QuotaRequest
}

// LimitRequested is a router's report of a server's limit, its request for a permit, or
// both.
type LimitRequested struct {
	Router  core.HostID
	Request core.LimitRequest
}

// ConfigRequested is a router's request for a configuration newer than a version.
type ConfigRequested struct {
	Router core.HostID
	Above  int64
}

// ConfigReceived is a router's answer to a request for a configuration.
type ConfigReceived struct {
	Router core.HostID
	Config core.ConfigPassed
}

func (ConfigRequested) event()      {}
func (ConfigReceived) event()       {}
func (QuotaRequested) event()       {}
func (LimitRequested) event()       {}
func (DigestReceived) event()       {}
func (ConfigSpreadReceived) event() {}
func (DrainingReceived) event()     {}
func (PoisonNewsReceived) event()   {}
func (RegistryNewsReceived) event() {}
func (OriginsTold) event()          {}
func (OriginAsked) event()          {}
func (Tick) event()                 {}
func (ReportRead) event()           {}
func (OrderDone) event()            {}
func (RouterUp) event()             {}
func (RouterDown) event()           {}
func (DemandReceived) event()       {}

// Effect is an output of the reducer.
type Effect interface{ effect() }

// ReadReport requests the engine's report. ReportRead follows.
type ReadReport struct{}

// SendOrder sends an order. OrderDone follows.
type SendOrder struct{ Order fleet.Order }

// SendHoldings sends the holdings to routers.
type SendHoldings struct {
	Routers  []core.HostID
	Holdings core.Holdings
}

// SendCounts sends the engine's counts to routers.
type SendCounts struct {
	Routers []core.HostID
	Counts  core.Counts
}

// SendQuota answers a router's request for tokens of client accounts.
type SendQuota struct {
	Router core.HostID
	Answer core.QuotaReply
}

// SendLimit sends a server's limit, or the answer to a request for a permit, to routers.
type SendLimit struct {
	Routers []core.HostID
	Limit   core.LimitReply
}

// RequestSpec asks a router for the engine's configuration that it announced.
type RequestSpec struct{ Router core.HostID }

// Forward sends routers a message from another router, or one on its behalf.
type Forward struct {
	Routers []core.HostID
	Message core.Message
}

// Wake requests a Tick and replaces the previous request.
type Wake struct{ At core.Time }

// Log is a log line.
type Log struct {
	Message string
	Attrs   []slog.Attr
}

// Count adds to a counter, Observe to a histogram.
type (
	Count   struct{ core.Count }
	Observe struct{ core.Observe }
)

func (ReadReport) effect()   {}
func (SendOrder) effect()    {}
func (SendHoldings) effect() {}
func (SendCounts) effect()   {}
func (SendQuota) effect()    {}
func (SendLimit) effect()    {}
func (RequestSpec) effect()  {}
func (Forward) effect()      {}
func (Wake) effect()         {}
func (Log) effect()          {}
func (Count) effect()        {}
func (Observe) effect()      {}

// The metrics of a loader.
const (
	metricOrders               core.Counter = "loader_orders_total"
	metricOrdersWithheld       core.Counter = "loader_orders_withheld_total"
	metricLoadSeconds          core.Counter = "loader_load_seconds"
	metricModelSeconds         core.Counter = "loader_model_seconds_total"
	metricEngineSeconds        core.Counter = "loader_engine_seconds_total"
	metricBudgetSeconds        core.Counter = "loader_budget_seconds_total"
	metricCrowdedSeconds       core.Counter = "loader_crowded_seconds_total"
	metricServerBudgetSeconds  core.Counter = "loader_server_budget_seconds_total"
	metricServerCrowdedSeconds core.Counter = "loader_server_crowded_seconds_total"
	metricMalformedLoads       core.Counter = "loader_malformed_loads_total"
	metricMalformedRuns        core.Counter = "loader_malformed_runs_total"
)

// Counters declares the metrics of a loader.
var Counters = []core.CounterDef{
	{Name: metricMalformedPermits, Help: "Fields of requests for a permit that were out of bounds, so that their defaults were used.", Labels: []string{"field"}},
	{Name: metricOrders, Help: "Orders to the engine by kind and result.", Labels: []string{"kind", "result"}},
	{Name: metricOrdersWithheld, Help: "Times in which an order was withheld because orders without an answer may still arrive."},
	{Name: metricModelSeconds, Help: "Seconds that models were loaded, by whether a request ran on them lately.", Labels: []string{"use"}},
	{Name: metricEngineSeconds, Help: "Seconds of the engine, by whether anything ran on it.", Labels: []string{"use"}},
	{Name: metricBudgetSeconds, Help: "Seconds in which a request-rate budget of the engine was in force."},
	{Name: metricCrowdedSeconds, Help: "Seconds in which the engine was crowded, by cause (prompts, pauses, memory).", Labels: []string{"cause"}},
	{Name: metricServerBudgetSeconds, Help: "Seconds in which a request-rate budget of a plain service's server was in force."},
	{Name: metricServerCrowdedSeconds, Help: "Seconds in which a plain service's server was crowded."},
	{Name: metricMalformedLoads, Help: "Reported loads of servers that were malformed or out of range."},
	{Name: metricMalformedRuns, Help: "Entries of the engine's reports of its runs that could not be decoded."},
	{Name: metricLoadSeconds, Help: "Time of a model's load by where its copy lay.", Labels: []string{"tier"}},
}
