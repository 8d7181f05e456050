package fleet

import "time"

// Report is the state of an engine as it tells it to the loader beside it.
type Report struct {
	// Born is when this life of the engine began, as in Incarnation. A report does
	// not tell its instance.
	Born int64
	// Busy engines carry out an order and take no other for a model.
	Busy bool
	// Sequence is the number of orders accepted in this life of the engine.
	Sequence int64
	Models   []LoadedModel
	// Coming are adapters on their way, each as "MODEL/NAME".
	Coming []string
	// InMemory and OnDisk are models with a copy near the engine.
	InMemory, OnDisk []string
	Running, Waiting int
	// Unread is how many of both have made no event yet.
	Unread int
	// KVUsed are tokens of the KV cache that can't be reclaimed.
	KVUsed, KVTotal int
	Draining        bool
	// LeavesIn is the time until the engine is taken away, 0 if not announced.
	LeavesIn time.Duration
}

// OrderKind tells what an order does.
type OrderKind uint8

// The kinds of orders.
const (
	OrderLoad OrderKind = iota
	OrderUnload
)

// String names the kind for logs.
func (k OrderKind) String() string {
	if k == OrderLoad {
		return "load"
	}
	return "unload"
}

// Order asks an engine to load or unload a model, or an adapter of a loaded
// model.
type Order struct {
	Kind    OrderKind
	Model   string
	Adapter string
	// Sequence is the engine's order count that the decision is based on. An
	// order that arrives late, after others, is refused by it.
	Sequence int64
	// For is the life of the engine that the order is for; its instance is "" if
	// unknown.
	For Incarnation
}

// OrderResult is what became of an order.
type OrderResult uint8

// The results of orders.
const (
	// OrderAccepted orders are being carried out.
	OrderAccepted OrderResult = iota
	// OrderHolds: what was ordered is already so.
	OrderUnchanged
	// OrderConflict: another order is under way, or came first.
	OrderConflict
	// OrderWrongInstance: another instance answered.
	OrderWrongInstance
	// OrderRefused: the engine does not take such an order.
	OrderRefused
	// OrderUnknown: no answer; it may be carried out seconds later.
	OrderUnknown
)

// String names the result for logs.
func (r OrderResult) String() string {
	return [...]string{"accepted", "holds already", "conflict", "wrong instance", "refused", "unknown"}[r]
}
