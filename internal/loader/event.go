package loader

import (
	"log/slog"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// Event is an input of the reducer.
type Event interface{ event() }

// Tick tells that a time asked for by Wake has come.
type Tick struct{}

// ReportRead is the engine's state, or the reason why it could not be read.
type ReportRead struct {
	Report fleet.Report
	Err    error
}

// OrderDone is what became of an order.
type OrderDone struct {
	Order  fleet.Order
	Result fleet.OrderResult
	// Instance is the engine's own name for itself, "" if it did not tell.
	Instance string
	Err      error
}

// RouterUp and RouterDown report the connection to a router.
type (
	RouterUp   struct{ Router core.HostID }
	RouterDown struct{ Router core.HostID }
)

// RouterSaid is a message from a router.
type RouterSaid struct {
	Router core.HostID
	Demand core.Demand
}

// RouterRead is news of the registry that a router wants passed on.
type RouterRead struct {
	Router core.HostID
	News   core.RegistryNews
}

// RouterSpreadConfig is a configuration that a router wants passed on to a part of the others.
type RouterSpreadConfig struct {
	Router core.HostID
	Spread core.ConfigSpread
}

// RouterPassedDigest is a digest that a router wants passed on.
type RouterPassedDigest struct {
	Router core.HostID
	Digest core.LoadDigest
}

// RouterTold is news of poison requests that a router wants passed on.
type RouterTold struct {
	Router core.HostID
	News   core.PoisonNews
}

// RouterAskedQuota is a router's question for tokens of client accounts.
type RouterAskedQuota struct {
	Router core.HostID
	Ask    core.QuotaAsk
}

// RouterAskedLimit is a router's word on a server's limit, or its question for a permit.
type RouterAskedLimit struct {
	Router core.HostID
	Ask    core.LimitAsk
}

// RouterWantsConfig is a router's question for a configuration above a version.
type RouterWantsConfig struct {
	Router core.HostID
	Above  int64
}

// RouterPassedConfig is a router's answer to that question.
type RouterPassedConfig struct {
	Router core.HostID
	Config core.ConfigPassed
}

func (RouterWantsConfig) event()  {}
func (RouterPassedConfig) event() {}
func (RouterAskedQuota) event()   {}
func (RouterAskedLimit) event()   {}
func (RouterPassedDigest) event() {}
func (RouterSpreadConfig) event() {}
func (RouterTold) event()         {}
func (RouterRead) event()         {}
func (Tick) event()               {}
func (ReportRead) event()         {}
func (OrderDone) event()          {}
func (RouterUp) event()           {}
func (RouterDown) event()         {}
func (RouterSaid) event()         {}

// Effect is an output of the reducer.
type Effect interface{ effect() }

// ReadReport asks for the engine's state. ReportRead follows.
type ReadReport struct{}

// SendOrder sends an order. OrderDone follows.
type SendOrder struct{ Order fleet.Order }

// Tell sends the same message to routers.
type Tell struct {
	Routers  []core.HostID
	Holdings core.Holdings
}

// TellCounts sends routers the engine's counts.
type TellCounts struct {
	Routers []core.HostID
	Counts  core.Counts
}

// TellQuota answers a router's question for tokens of client accounts.
type TellQuota struct {
	Router core.HostID
	Told   core.QuotaTold
}

// TellLimit sends routers what they are to know of a server's limit.
type TellLimit struct {
	Routers []core.HostID
	Told    core.LimitTold
}

// AskSpec asks a router for the engine's configuration that it named.
type AskSpec struct{ Router core.HostID }

// PassOn sends routers what another one has read, told earlier, or asks for.
type PassOn struct {
	Routers []core.HostID
	News    core.Message
}

// Wake asks for a Tick in place of the one asked for before.
type Wake struct{ At core.Time }

// Log is a line for operators.
type Log struct {
	Message string
	Attrs   []slog.Attr
}

// Count adds to a counter, Observe to a histogram.
type (
	Count   struct{ core.Count }
	Observe struct{ core.Observe }
)

func (ReadReport) effect() {}
func (SendOrder) effect()  {}
func (Tell) effect()       {}
func (TellCounts) effect() {}
func (TellQuota) effect()  {}
func (TellLimit) effect()  {}
func (AskSpec) effect()    {}
func (PassOn) effect()     {}
func (Wake) effect()       {}
func (Log) effect()        {}
func (Count) effect()      {}
func (Observe) effect()    {}

// The metrics of a loader.
const (
	metricOrders        core.Counter = "loader_orders_total"
	metricLoadSeconds   core.Counter = "loader_load_seconds"
	metricModelSeconds  core.Counter = "loader_model_seconds_total"
	metricEngineSeconds core.Counter = "loader_engine_seconds_total"
)

// Counters declares the metrics of a loader.
var Counters = []core.CounterDef{
	{Name: metricOrders, Help: "Orders to the engine by kind and result.", Labels: []string{"kind", "result"}},
	{Name: metricModelSeconds, Help: "Seconds that models were loaded, by whether a request ran on them lately.", Labels: []string{"use"}},
	{Name: metricEngineSeconds, Help: "Seconds of the engine, by whether anything ran on it.", Labels: []string{"use"}},
	{Name: metricLoadSeconds, Help: "Time of a model's load by where its copy lay.", Labels: []string{"tier"}},
}
