// Package code holds the numbered result codes. The number, the HTTP status
// and the meaning of each are listed in docs/ERRORS.md; a test checks the page
// against the table here.
package code

// Code is a numbered result. Zero is success.
type Code int

// The result codes. A number is never reused.
const (
	OK Code = 0

	// 1xxx: the request itself is wrong.
	BadBody        Code = 1001 // malformed body
	BadHeader      Code = 1002 // malformed header
	BadTimeout     Code = 1003 // malformed or out-of-range Request-Timeout
	UnknownKey     Code = 1004 // missing or unknown API key
	UnknownModel   Code = 1005 // no such model or adapter
	UnknownService Code = 1006 // no such service
	BodyTooLarge   Code = 1007 // body over the limit of the settings
	BadField       Code = 1008 // a field has a wrong type or value
	BadMethod      Code = 1009 // method not allowed on this path
	UnknownPath    Code = 1010 // no such path

	// 2xxx: refused, and the request did not run.
	DeadlineUnmet   Code = 2001 // predicted start is past the deadline
	QueueFull       Code = 2002 // bounded queue is full
	NoBackend       Code = 2003 // no backend server can serve the target now
	Draining        Code = 2004 // the process is stopping
	LoadFailed      Code = 2005 // the model could not be loaded
	NotOwner        Code = 2006 // the agent does not own the slot (internal)
	NotReady        Code = 2007 // no configuration yet
	DeadlinePassed  Code = 2008 // the deadline passed before the start
	TooManyUpgrades Code = 2009 // connection refused by the token bucket
	Cancelled       Code = 2010 // the caller went away before the start
	NoMemory        Code = 2011 // accelerator memory is taken by busy models
	DuplicateKey    Code = 2012 // same idempotency key, different request
	Starved         Code = 2013 // the process is behind with its work
	KeyUnsure       Code = 2014 // unknown API key, which may be a new one
	OverQuota       Code = 2015 // the client account is over its rate
	AtLimit         Code = 2016 // the servers' limits leave no room

	// 3xxx: the request may have run.
	OutcomeUnknown Code = 3001 // the connection or process was lost
	BackendFailed  Code = 3002 // the backend server failed during the run
	TimedOut       Code = 3003 // the deadline passed during the run
	AnswerCut      Code = 3004 // the answer broke off and could not be resumed
	PoisonRequest  Code = 3005 // servers ended under the same request before

	// 4xxx: settings and declarations.
	BadSettings    Code = 4001
	BadDeclaration Code = 4002
	Conflict       Code = 4003 // resourceVersion is not the current one
	BadReplay      Code = 4004 // a recorded run replays to other effects
	WatchTooOld    Code = 4005 // a watch can't be resumed at the stated revision

	// 5xxx: platform and peers.
	KVUnavailable   Code = 5001
	KVConflict      Code = 5002
	KVUnknown       Code = 5003 // a write's answer was lost
	EngineRefused   Code = 5004 // the engine refused an order
	EngineFailed    Code = 5005
	EngineUnknown   Code = 5006 // an order's answer was lost
	FencedOut       Code = 5007 // the engine refused an old fencing number
	OrderExpired    Code = 5008 // the order was not sent within its validity
	StoreFailed     Code = 5009
	PeerLost        Code = 5010 // connection to another process lost
	BadMessage      Code = 5011 // a message could not be decoded
	EngineNoMemory  Code = 5012 // the engine reports overcommitted memory
	EngineNotLoaded Code = 5013 // the engine does not have the model loaded
	// a value of the platform is malformed; the last good one stays in force
	BadPlatformValue Code = 5014
)

// NotRun reports whether the code promises that the request did not run.
func (c Code) NotRun() bool { return c >= 1000 && c < 3000 }
