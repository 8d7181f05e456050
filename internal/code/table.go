package code

import "strconv"

// Info describes one result code. docs/ERRORS.md is generated from the list.
type Info struct {
	Code Code
	// Name is the identifier of the constant, used in responses and logs.
	Name string
	// Status is the HTTP status of responses with the code.
	Status int
	// Meaning explains the code to operators and callers in one line.
	Meaning string
}

// statusClientClosedRequest is the status that proxies use by convention for a
// request whose caller closed the connection. It is never received by a caller.
const statusClientClosedRequest = 499

var table = []Info{
	{OK, "OK", 200, "success"},

	{BadBody, "BadBody", 400, "the body is malformed or was not sent whole"},
	{BadHeader, "BadHeader", 400, "a header is malformed"},
	{BadTimeout, "BadTimeout", 400, "Request-Timeout is malformed or out of range"},
	{UnknownKey, "UnknownKey", 401, "the API key is missing or unknown"},
	{UnknownModel, "UnknownModel", 404, "no model or adapter of this name is declared"},
	{UnknownService, "UnknownService", 404, "no service of this name is declared"},
	{BodyTooLarge, "BodyTooLarge", 413, "the body is over the limit of the settings"},
	{BadField, "BadField", 400, "a field has a wrong type or value"},
	{BadMethod, "BadMethod", 405, "the method is not allowed on this path"},
	{UnknownPath, "UnknownPath", 404, "there is no such path"},
	{BadResumption, "BadResumption", 400, "the headers that name the stream to take up are malformed, or the route's streams can't be taken up"},

	{DeadlineUnmet, "DeadlineUnmet", 503, "the predicted start is past the deadline"},
	{QueueFull, "QueueFull", 503, "the bounded queue is full"},
	{NoBackend, "NoBackend", 503, "no backend server can serve the target now"},
	{Draining, "Draining", 503, "the process is stopping and takes no new work"},
	{LoadFailed, "LoadFailed", 503, "the model could not be loaded"},
	{NotOwner, "NotOwner", 503, "the agent does not own the slot (between processes only)"},
	{NotReady, "NotReady", 503, "the process has no configuration yet"},
	{DeadlinePassed, "DeadlinePassed", 504, "the deadline passed before the request started"},
	{TooManyUpgrades, "TooManyUpgrades", 503, "the token bucket refused a new connection between processes"},
	{Cancelled, "Cancelled", statusClientClosedRequest, "the caller went away before the request started"},
	{NoMemory, "NoMemory", 503, "accelerator memory is taken by busy models"},
	{DuplicateKey, "DuplicateKey", 422, "the idempotency key was used before with a different request"},
	{Starved, "Starved", 503, "the process gets too little processor time for its work; another entry host may serve the request"},
	{KeyUnsure, "KeyUnsure", 503, "the API key is unknown here, and the process can't tell whether it is a new one"},
	{OverQuota, "OverQuota", 429, "the client account asks for more than its rate and burst allow; Retry-After tells when it has room again"},
	{AtLimit, "AtLimit", 503, "each server of the service takes no more requests now, by the limit that it names, its budget or the client account's share of that; Retry-After tells when the first has room"},
	{BackingOff, "BackingOff", 503, "each server of the service has turned a request away and wants none for some time; Retry-After tells when the first takes some again"},
	{UnknownOrigin, "UnknownOrigin", 503, "the stream to take up was begun by servers of one of several software versions, and it isn't known which"},
	{ReleaseGone, "ReleaseGone", 503, "no server of the software version that began the stream takes requests; a new stream would be served"},
	{BodiesFull, "BodiesFull", 503, "the memory for the bodies of requests is taken, or it is short and this body came too slowly; Retry-After tells when to send it again"},

	{OutcomeUnknown, "OutcomeUnknown", 502, "a connection or process was lost; the request may have run"},
	{BackendFailed, "BackendFailed", 502, "the backend server failed during the run"},
	{TimedOut, "TimedOut", 504, "the deadline passed during the run"},
	{AnswerCut, "AnswerCut", 502, "the answer broke off and could not be resumed"},
	{PoisonRequest, "PoisonRequest", 502, "backend servers ended by themselves under the same request (caller, path and body), one after the other; it is sent to no further one"},
	{PoisonPart, "PoisonPart", 502, "backend servers ended by themselves under requests that share a part of their prompts with this one; requests with the part are sent to no further one"},

	{BadSettings, "BadSettings", 500, "a settings file has a wrong, missing or unknown field"},
	{BadDeclaration, "BadDeclaration", 400, "a declaration has a wrong, missing or unknown field"},
	{Conflict, "Conflict", 409, "the resourceVersion is not the current one"},
	{BadReplay, "BadReplay", 500, "a recorded run replays to other effects"},
	{WatchTooOld, "WatchTooOld", 410, "a watch can't be resumed at the stated revision: list again"},

	{KVUnavailable, "KVUnavailable", 503, "the KV service did not answer; a write had no effect"},
	{KVConflict, "KVConflict", 409, "another writer changed the key first"},
	{KVUnknown, "KVUnknown", 504, "the answer to a KV write was lost; it may have taken effect"},
	{EngineRefused, "EngineRefused", 502, "the engine refused an order"},
	{EngineFailed, "EngineFailed", 502, "the engine failed during an order; its effect is unknown"},
	{EngineUnknown, "EngineUnknown", 504, "the answer to an order was lost; its effect is unknown"},
	{FencedOut, "FencedOut", 409, "the engine refused an old fencing number"},
	{OrderExpired, "OrderExpired", 504, "the order was not sent within its validity"},
	{StoreFailed, "StoreFailed", 502, "the weight store did not deliver the checkpoint"},
	{PeerLost, "PeerLost", 502, "the connection to another process was lost"},
	{BadMessage, "BadMessage", 400, "a message of another process could not be decoded"},
	{EngineNoMemory, "EngineNoMemory", 507, "the engine reports that its accelerator memory is overcommitted"},
	{EngineNotLoaded, "EngineNotLoaded", 503, "the engine does not have the model loaded"},
	{BadPlatformValue, "BadPlatformValue", 502, "a value of the platform is malformed; the last good one stays in force"},
}

var byCode = indexTable()

func indexTable() map[Code]Info {
	index := make(map[Code]Info, len(table))
	for _, info := range table {
		index[info.Code] = info
	}
	return index
}

// Table returns all codes in ascending order.
func Table() []Info { return append([]Info(nil), table...) }

// String returns the name, or the number if the code has no name.
func (c Code) String() string {
	if info, ok := byCode[c]; ok {
		return info.Name
	}
	return strconv.Itoa(int(c))
}

// HTTPStatus returns the HTTP status of responses with the code. It returns 500
// for an unknown code, such as one from a process of a newer version.
func (c Code) HTTPStatus() int {
	if info, ok := byCode[c]; ok {
		return info.Status
	}
	return 500
}

// Meaning returns one line that explains the code.
func (c Code) Meaning() string {
	if info, ok := byCode[c]; ok {
		return info.Meaning
	}
	return "unknown result code"
}
