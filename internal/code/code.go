// Package code defines the numbered result codes. docs/ERRORS.md lists the number,
// the HTTP status and the meaning of each; a test compares the page with the table
// in this package.
package code

// Code is a result code. Zero means success.
type Code int

// The result codes. A number is never reused.
const (
	OK Code = 0

	// 1xxx: the request is invalid.
	BadBody        Code = 1001 // malformed body
	BadHeader      Code = 1002 // malformed header
	BadTimeout     Code = 1003 // malformed or out-of-range Request-Timeout
	UnknownKey     Code = 1004 // missing or unknown API key
	UnknownModel   Code = 1005 // no such model or adapter
	UnknownService Code = 1006 // no such service
	BodyTooLarge   Code = 1007 // body exceeds the limit in the settings
	BadField       Code = 1008 // a field has an invalid type or value
	BadMethod      Code = 1009 // method not allowed on this path
	UnknownPath    Code = 1010 // no such path
	BadResumption  Code = 1011 // malformed statement of the stream to take up

	// 2xxx: the request was refused and did not run.
	DeadlineUnmet   Code = 2001 // predicted start is after the deadline
	QueueFull       Code = 2002 // bounded queue is full
	NoBackend       Code = 2003 // no backend server can serve the target now
	Draining        Code = 2004 // the process is stopping
	LoadFailed      Code = 2005 // the model could not be loaded
	NotOwner        Code = 2006 // the agent does not own the slot (internal)
	NotReady        Code = 2007 // no configuration yet
	DeadlinePassed  Code = 2008 // the deadline passed before the start
	TooManyUpgrades Code = 2009 // connection refused by the token bucket
	Cancelled       Code = 2010 // the caller disconnected before the start
	NoMemory        Code = 2011 // accelerator memory is occupied by busy models
	DuplicateKey    Code = 2012 // same idempotency key, different request
	Starved         Code = 2013 // the process gets too little processor time
	KeyUnsure       Code = 2014 // unknown API key, which may have been added recently
	OverQuota       Code = 2015 // the client account exceeds its rate
	AtLimit         Code = 2016 // the limits of all servers are reached
	BackingOff      Code = 2017 // all servers want no requests for some time
	UnknownOrigin   Code = 2018 // the release that began the stream is not known
	ReleaseGone     Code = 2019 // no server of the release that began the stream
	BodiesFull      Code = 2020 // the memory for request bodies is taken

	// 3xxx: the request may have run.
	OutcomeUnknown Code = 3001 // the connection or process was lost
	BackendFailed  Code = 3002 // the backend server failed during the run
	TimedOut       Code = 3003 // the deadline passed during the run
	AnswerCut      Code = 3004 // the response was interrupted and could not be resumed
	PoisonRequest  Code = 3005 // earlier attempts of the same request crashed servers
	PoisonPart     Code = 3006 // requests with the same part of a prompt crashed servers

	// 4xxx: settings and declarations.
	BadSettings    Code = 4001
	BadDeclaration Code = 4002
	Conflict       Code = 4003 // resourceVersion is not the current one
	BadReplay      Code = 4004 // replaying a recorded run yields different effects
	WatchTooOld    Code = 4005 // a watch can't be resumed at the stated revision

	// 5xxx: platform and peers.
	KVUnavailable   Code = 5001
	KVConflict      Code = 5002
	KVUnknown       Code = 5003 // the response to a write was lost
	EngineRefused   Code = 5004 // the engine refused an order
	EngineFailed    Code = 5005
	EngineUnknown   Code = 5006 // the response to an order was lost
	FencedOut       Code = 5007 // the engine refused a stale fencing token
	OrderExpired    Code = 5008 // the order was not sent within its validity
	StoreFailed     Code = 5009
	PeerLost        Code = 5010 // connection to another process lost
	BadMessage      Code = 5011 // a message could not be decoded
	EngineNoMemory  Code = 5012 // the engine reports overcommitted memory
	EngineNotLoaded Code = 5013 // the engine does not have the model loaded
	// a value from the platform is malformed; the last valid one stays in force
	BadPlatformValue Code = 5014
)

// NotRun reports whether the code guarantees that the request did not run.
func (c Code) NotRun() bool { return c >= 1000 && c < 3000 }
