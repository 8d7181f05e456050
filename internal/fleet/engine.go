package fleet

import "time"

// Report is the state of an engine that it reports to the loader on its host.
type Report struct {
	// Born is the start of the engine's process, as in Incarnation. A report does not
	// contain the instance.
	Born int64
	// Busy engines are executing an order and accept no other order for a model.
	Busy bool
	// Sequence is the number of orders that this process of the engine has accepted.
	Sequence int64
	Models   []LoadedModel
	// Coming are the adapters that are being loaded, each as "MODEL/NAME".
	Coming []string
	// InMemory and OnDisk are the models with a copy in host memory or on the engine's
	// disk, from which a load is fast.
	InMemory, OnDisk []string
	Running, Waiting int
	// Unread is the number of these requests that have not produced an event yet.
	Unread int
	// Runs are the requests that have produced an event. Malformed is the number of entries of
	// the report's list of them that could not be decoded and are left out.
	Runs      []Run
	Malformed int
	// KVUsed is the number of tokens in the KV cache that can't be reclaimed.
	KVUsed, KVTotal int
	Draining        bool
	// LeavesIn is the time until the engine is removed, 0 if that is not announced.
	LeavesIn time.Duration
}

// Run is a request at an engine that has produced an event.
type Run struct {
	// ID is the request id.
	ID string
	// Tokens is its number of tokens in the KV cache, Events that of the events that it has
	// produced.
	Tokens, Events int
}

// OrderKind is the kind of an order.
type OrderKind uint8

// The kinds of orders.
const (
	OrderLoad OrderKind = iota
	OrderUnload
)

// String returns the kind's name in logs.
func (k OrderKind) String() string {
	if k == OrderLoad {
		return "load"
	}
	return "unload"
}

// Order instructs an engine to load or unload a model, or an adapter of a loaded model.
type Order struct {
	Kind    OrderKind
	Model   string
	Adapter string
	// Sequence is the engine's order count on which the decision is based. The engine
	// refuses an order that arrives after others.
	Sequence int64
	// For is the incarnation of the engine that the order is meant for; its instance is ""
	// if unknown.
	For Incarnation
}

// OrderAnswer is an engine's answer to an order.
type OrderAnswer struct {
	Result OrderResult
	// Instance is the instance that the answer names, "" if none.
	Instance string
	// Backoff is for how long the engine wants no further order, 0 if it did not state that.
	Backoff time.Duration
}

// OrderResult is the result of an order.
type OrderResult uint8

// The results of orders.
const (
	// OrderAccepted: the order is being executed.
	OrderAccepted OrderResult = iota
	// OrderUnchanged: the engine is already in the ordered state.
	OrderUnchanged
	// OrderConflict: another order is being executed or came first.
	OrderConflict
	// OrderWrongInstance: another instance answered.
	OrderWrongInstance
	// OrderRefused: the engine does not accept such an order.
	OrderRefused
	// OrderUnknown: there was no answer; the order may be executed seconds later.
	OrderUnknown
	// OrderUnsent: no connection was opened, so that the order did not reach the engine.
	OrderUnsent
)

// String returns the result's name in logs.
func (r OrderResult) String() string {
	return [...]string{"accepted", "holds already", "conflict", "wrong instance", "refused", "unknown", "not sent"}[r]
}
