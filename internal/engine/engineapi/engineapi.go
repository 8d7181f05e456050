// Package engineapi defines the HTTP interface of a model engine. The agent is
// its client; the stand-in engine implements the server. Bodies are JSON.
//
//	GET  /v1/inventory    Inventory: what is loaded, loading or unloading
//	POST /v1/orders       Order; answered when its effect is complete
//	GET  /v1/load         Load: the delayed load report with cache events
//	POST /v1/completions  OpenAI-style body; answered by a stream of Token lines
//
// An engine is serving or draining (see Role). The agent orders the change.
//
// An order is answered with 200 once it has taken effect, otherwise with a
// Refusal and the status of its Reason. If the connection ends without an
// answer, the effect of the order is unknown.
//
// A completion specifies the loaded checkpoint in HeaderKey; the body's "model"
// is ignored. The answer is 200 with one Token as a JSON object per line
// (application/x-ndjson), in order of Index starting at HeaderResumeFrom, and a
// final line with Done set. A stream that ends without Done is incomplete.
// Closing the connection cancels the completion. A Refusal with ReasonNotLoaded
// or ReasonDraining guarantees that the completion did not and will not run.
package engineapi

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Paths of the interface.
const (
	PathInventory   = "/v1/inventory"
	PathOrders      = "/v1/orders"
	PathLoad        = "/v1/load"
	PathCompletions = "/v1/completions"
)

// Header names. The agent sets these headers; a caller's headers with the same
// names are dropped.
const (
	// HeaderRequestID is the request id in hexadecimal. It is sent to engines
	// and plain services.
	HeaderRequestID = "Nutmeglane-Request-Id"
	// HeaderAttempt is the number of the attempt, counted from 1.
	HeaderAttempt = "Nutmeglane-Attempt"
	// HeaderKey is the key of the loaded checkpoint, "<name>@<version>".
	HeaderKey = "Nutmeglane-Key"
	// HeaderPriority is "interactive" or "batch".
	HeaderPriority = "Nutmeglane-Request-Priority"
	// HeaderResumeFrom is the index of the first token wanted. Default 0.
	HeaderResumeFrom = "Nutmeglane-Resume-From"
)

// HeaderNonIdempotent, set to "true" by a caller, marks a completion that may run
// only once, such as a billed one. It is passed through to the engine and read by
// referees.
const HeaderNonIdempotent = "Nutmeglane-Non-Idempotent"

// ContentTypeStream is the media type of the answer to a completion.
const ContentTypeStream = "application/x-ndjson"

// Kind is the kind of an order.
type Kind string

// The order kinds.
const (
	KindLoad     Kind = "load"
	KindUnload   Kind = "unload"
	KindPrefetch Kind = "prefetch"
	// KindRole changes the engine's role to Order.Role.
	KindRole Kind = "role"
)

// Role determines whether an engine accepts new work.
type Role string

// The roles. An engine starts as RoleServing. A draining engine finishes its
// loads and runs and refuses new ones with ReasonDraining, but still executes
// unloads and prefetches. The role isn't kept across restarts of the engine.
const (
	RoleServing  Role = "serving"
	RoleDraining Role = "draining"
)

// Order requests a change of what is loaded or cached, or of the role.
type Order struct {
	Kind Kind `json:"kind"`
	// Key is "<model or adapter>@<version>". It is empty for KindRole.
	Key string `json:"key,omitempty"`
	// Role is the new role. It is used for KindRole only.
	Role Role `json:"role,omitempty"`
	// Base is the base model's key if Key is an adapter.
	Base          string `json:"base,omitempty"`
	MemoryMiB     int64  `json:"memoryMiB,omitempty"`
	CheckpointMiB int64  `json:"checkpointMiB,omitempty"`
	// Fence is the fencing number. An engine that checks fencing refuses an
	// order whose number is lower than one it has seen for the same base.
	// Orders of KindRole have a numbering of their own: the sender uses one
	// more than the last Inventory.RoleFence it has read.
	Fence uint64 `json:"fence"`
	// ValidForMillis is the validity in milliseconds from the receipt. An
	// engine refuses an order that it can't begin within this time. 0 means no
	// limit.
	ValidForMillis int64 `json:"validForMillis"`
}

// Reason is the reason of a refusal.
type Reason string

// The reasons. After ReasonFailed, the effect of an order is unknown. All others
// guarantee that it had none.
const (
	ReasonBadRequest  Reason = "bad-request"
	ReasonRefused     Reason = "refused"
	ReasonFenced      Reason = "fenced"
	ReasonExpired     Reason = "expired"
	ReasonNoMemory    Reason = "no-memory"
	ReasonStoreFailed Reason = "store-failed"
	ReasonNotLoaded   Reason = "not-loaded"
	ReasonDraining    Reason = "draining"
	ReasonFailed      Reason = "failed"
)

// Status returns the HTTP status for the reason.
func (r Reason) Status() int {
	switch r {
	case ReasonBadRequest:
		return http.StatusBadRequest
	case ReasonFenced, ReasonExpired:
		return http.StatusPreconditionFailed
	case ReasonNoMemory:
		return http.StatusInsufficientStorage
	case ReasonStoreFailed:
		return http.StatusBadGateway
	case ReasonFailed:
		return http.StatusInternalServerError
	default:
		return http.StatusConflict
	}
}

// Refusal is the body of each answer other than 200.
type Refusal struct {
	Reason Reason `json:"reason"`
}

// Item is a loaded, loading or unloading checkpoint.
type Item struct {
	Key       string `json:"key"`
	Base      string `json:"base,omitempty"`
	MemoryMiB int64  `json:"memoryMiB"`
	// Fence is the fencing number of the order that loaded it.
	Fence uint64 `json:"fence"`
	// Busy is set while the checkpoint is being loaded or unloaded.
	Busy bool `json:"busy,omitempty"`
}

// Cached is a checkpoint cached on the engine's host. Tier is "memory" or "disk".
type Cached struct {
	Key  string `json:"key"`
	Tier Tier   `json:"tier"`
}

// Tier is a cache tier.
type Tier string

// The cache tiers.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
)

// Inventory is the current state of the engine.
type Inventory struct {
	Items []Item `json:"items"`
	// MemoryMiB is the total accelerator memory.
	MemoryMiB int64 `json:"memoryMiB"`
	// ChecksFencing reports whether the engine refuses orders with old fencing
	// numbers.
	ChecksFencing bool `json:"checksFencing"`
	// Role is empty if the engine doesn't support roles, which means that it
	// is serving.
	Role Role `json:"role,omitempty"`
	// RoleFence is the highest fencing number of a KindRole order so far.
	RoleFence uint64   `json:"roleFence,omitempty"`
	Cached    []Cached `json:"cached,omitempty"`
}

// Load is the load report. It is delayed relative to the engine's state.
type Load struct {
	// Epoch changes when the engine restarts. Cache events of an earlier epoch
	// are invalid.
	Epoch   uint64 `json:"epoch"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	// Events are the most recent cache events, oldest first. They are delayed,
	// and some are never reported, so Sequence has gaps.
	Events []CacheEvent `json:"events,omitempty"`
	Cached []Cached     `json:"cached,omitempty"`
}

// CacheEvent reports that a prompt prefix entered or left the prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is the PrefixHash of the prompt, encoded as a decimal string.
	Prefix  uint64 `json:"prefix,string"`
	Evicted bool   `json:"evicted,omitempty"`
}

// Token is one line of the answer to a completion: a token or the end.
type Token struct {
	Index uint64 `json:"index"`
	Text  string `json:"text"`
	// Done marks the last line. Its Index is the total number of tokens.
	Done bool `json:"done,omitempty"`
}

// Prompt joins the contents of chat messages with line feeds. A content that is
// not a JSON string is included as raw JSON.
func Prompt(contents []json.RawMessage) string {
	parts := make([]string, len(contents))
	for i, content := range contents {
		if json.Unmarshal(content, &parts[i]) != nil {
			parts[i] = string(content)
		}
	}
	return strings.Join(parts, "\n")
}

// prefixBytes is the length of the prompt prefix that PrefixHash covers.
const prefixBytes = 256

// PrefixHash returns the hash by which cache events and routers identify the
// prefix of a prompt. It is never 0.
func PrefixHash(prompt string) uint64 {
	hash := xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
	return max(hash, 1)
}
