// Package api defines the resource types that operators declare and the snapshot
// that the other packages read. Apart from ParseDir it performs no I/O. Controllers
// are in other packages.
package api

// Version is the only apiVersion accepted in declarations.
const Version = "nutmeglane/v1"

// Kind names a resource type.
type Kind string

// The resource kinds.
const (
	KindModel         Kind = "Model"
	KindAdapter       Kind = "Adapter"
	KindService       Kind = "Service"
	KindClientAccount Kind = "ClientAccount"
	KindDeployment    Kind = "Deployment"
)

// Priority is the priority of requests: interactive requests precede batch requests.
type Priority string

// The request priorities.
const (
	PriorityInteractive Priority = "interactive"
	PriorityBatch       Priority = "batch"
)

// Metadata identifies a resource and counts its changes.
type Metadata struct {
	// Name is unique within a kind: lower-case letters, digits, '-' and '.',
	// at most 63 bytes. Written by the operator.
	Name string `json:"name"`
	// Labels are arbitrary key-value pairs. Written by the operator.
	Labels map[string]string `json:"labels,omitempty"`
	// Generation grows by one at each change of spec. Written by the API.
	Generation int64 `json:"generation,omitempty"`
	// ResourceVersion is the configuration revision of the last change. A
	// write that states another one is a conflict. Written by the API.
	ResourceVersion int64 `json:"resourceVersion,omitempty"`
}

// ReplicaLimits limits the loaded replicas of a model or adapter.
type ReplicaLimits struct {
	// Min replicas are kept loaded even when idle. Default 0.
	Min int `json:"min,omitempty"`
	// Max is the number of slots, and so the maximum number of loaded replicas.
	// Default 1.
	Max int `json:"max"`
}

// ModelSpec declares a servable base model.
type ModelSpec struct {
	// Version names the checkpoint in force; the weight store's key is
	// "<model>@<version>". Required.
	Version string `json:"version"`
	// MemoryMiB is the accelerator memory that one loaded replica uses, without
	// adapters. Required.
	MemoryMiB int64 `json:"memoryMiB"`
	// CheckpointMiB is the size read from the weight store. Default MemoryMiB.
	CheckpointMiB int64 `json:"checkpointMiB,omitempty"`
	// Replicas limits the loaded replicas.
	Replicas ReplicaLimits `json:"replicas"`
	// Priority is the default priority of its requests. Default interactive.
	Priority Priority `json:"priority,omitempty"`
	// MaxConcurrent is the number of requests that one replica runs at a time.
	// Default 8.
	MaxConcurrent int `json:"maxConcurrent,omitempty"`
}

// AdapterSpec declares a low-rank adapter that is served on a replica of its
// base model.
type AdapterSpec struct {
	// Base is the name of the base Model. Required.
	Base string `json:"base"`
	// Version names the adapter checkpoint; the weight store's key is
	// "<adapter>@<version>". Required.
	Version string `json:"version"`
	// MemoryMiB is the accelerator memory that one loaded copy uses. Required.
	MemoryMiB int64 `json:"memoryMiB"`
	// Replicas limits the loaded copies; at most the base's limit.
	Replicas ReplicaLimits `json:"replicas"`
	// Priority is the default priority of its requests. Default the base's.
	Priority Priority `json:"priority,omitempty"`
}

// ServiceSpec declares a plain service that requests are routed to.
type ServiceSpec struct {
	// IdempotentMethods lists the HTTP methods whose calls may be retried after
	// a failure. Default GET, HEAD, OPTIONS, PUT, DELETE.
	IdempotentMethods []string `json:"idempotentMethods,omitempty"`
	// NonIdempotentPaths lists path prefixes whose calls are never retried,
	// regardless of the method.
	NonIdempotentPaths []string `json:"nonIdempotentPaths,omitempty"`
	// MaxConcurrent is the number of calls that one backend server runs at a time.
	// Default 16.
	MaxConcurrent int `json:"maxConcurrent,omitempty"`
}

// ClientAccountSpec declares a client account.
type ClientAccountSpec struct {
	// APIKeySHA256 lists the hexadecimal SHA-256 digests of the client account's
	// API keys. The keys are never stored.
	APIKeySHA256 []string `json:"apiKeySHA256"`
	// Weight is the relative share of capacity under overload. Default 1.
	Weight int `json:"weight,omitempty"`
}

// DeploymentSpec holds the prices that determine how long an idle model stays
// loaded, and the capacity of the weight store. Only the resource named "default" is
// accepted.
type DeploymentSpec struct {
	// ColdStartPrice is the cost of one second that a caller waits for a
	// cold start, in the same unit as IdleHourPrice. Default 1.
	ColdStartPrice float64 `json:"coldStartPrice,omitempty"`
	// IdleHourPrice is the cost of one accelerator kept loaded and idle for
	// an hour. Default 20.
	IdleHourPrice float64 `json:"idleHourPrice,omitempty"`
	// StoreLoadsPerSecond is the number of loads per second that the weight store
	// serves. Default 5.
	StoreLoadsPerSecond float64 `json:"storeLoadsPerSecond,omitempty"`
	// StoreLanes is the number of concurrent loads that the weight store serves at
	// full speed. Default 4.
	StoreLanes int `json:"storeLanes,omitempty"`
}

// Model is a declared base model.
type Model struct {
	Metadata Metadata  `json:"metadata"`
	Spec     ModelSpec `json:"spec"`
}

// Adapter is a declared adapter.
type Adapter struct {
	Metadata Metadata    `json:"metadata"`
	Spec     AdapterSpec `json:"spec"`

	// InheritsPriority reports whether Spec.Priority was set from the base.
	InheritsPriority bool `json:"inheritsPriority,omitempty"`
}

// Service is a declared plain service.
type Service struct {
	Metadata Metadata    `json:"metadata"`
	Spec     ServiceSpec `json:"spec"`
}

// ClientAccount is a declared client account.
type ClientAccount struct {
	Metadata Metadata          `json:"metadata"`
	Spec     ClientAccountSpec `json:"spec"`
}

// Snapshot is one accepted configuration: all resources at one revision, with
// defaults set. It is immutable.
type Snapshot struct {
	// Revision grows by one with each accepted change and never reverts.
	Revision       int64                     `json:"revision"`
	Models         map[string]*Model         `json:"models"`
	Adapters       map[string]*Adapter       `json:"adapters"`
	Services       map[string]*Service       `json:"services"`
	ClientAccounts map[string]*ClientAccount `json:"clientAccounts"`
	// Deployment is never nil in a snapshot built by this package.
	Deployment *DeploymentSpec `json:"deployment"`
	// DeploymentMetadata is nil when no Deployment is declared.
	DeploymentMetadata *Metadata `json:"deploymentMetadata,omitempty"`
}
