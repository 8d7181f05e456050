package core

import (
	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
)

// ConfigWrite identifies the write that created a revision, so that a writer that did
// not receive the answer to a write can determine whether it was its own.
type ConfigWrite struct {
	Revision    int64       `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Sequence is the number of the apply within the incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
}

// ConfigRecord is the KV value at KeyConfigHead.
type ConfigRecord struct {
	Head ConfigHead `cbor:"1,keyasint"`
	// Recent lists the most recent writes, the oldest first.
	Recent []ConfigWrite `cbor:"2,keyasint,omitempty"`
}

// ConfigDeletion identifies a resource to delete.
type ConfigDeletion struct {
	Key api.Key `cbor:"1,keyasint"`
	// ResourceVersion, if not 0, must be the resource's current version.
	ResourceVersion int64 `cbor:"2,keyasint,omitempty"`
}

// ApplyRequested is an operator's change of the configuration. It is applied
// atomically. ApplyDone answers it.
type ApplyRequested struct {
	// ID is chosen by the process and repeated by ApplyDone.
	ID uint64 `cbor:"1,keyasint"`
	// Resources is a document (see api.EncodeDocument) of the resources to
	// create or replace.
	Resources []byte           `cbor:"2,keyasint,omitempty"`
	Delete    []ConfigDeletion `cbor:"3,keyasint,omitempty"`
	// DryRun validates and reports the changes without applying them.
	DryRun bool `cbor:"4,keyasint,omitempty"`
	// Create refuses the change if any of Resources exists.
	Create bool `cbor:"6,keyasint,omitempty"`
	// Prune deletes every resource that is not in Resources.
	Prune bool `cbor:"5,keyasint,omitempty"`
}

// ConfigAction is what an apply does to a resource.
type ConfigAction string

// The actions of an apply.
const (
	ActionCreated   ConfigAction = "created"
	ActionUpdated   ConfigAction = "updated"
	ActionUnchanged ConfigAction = "unchanged"
	ActionDeleted   ConfigAction = "deleted"
	// ActionAbsent means that a resource to delete did not exist.
	ActionAbsent ConfigAction = "absent"
)

// ConfigChange is what an apply did to one resource.
type ConfigChange struct {
	Key    api.Key      `cbor:"1,keyasint" json:"key"`
	Action ConfigAction `cbor:"2,keyasint" json:"action"`
	// ResourceVersion is the resource's version after the change.
	ResourceVersion int64 `cbor:"3,keyasint,omitempty" json:"resourceVersion,omitempty"`
}

// ApplyDone answers ApplyRequested.
type ApplyDone struct {
	ID uint64 `cbor:"1,keyasint"`
	// Code is OK; BadDeclaration, Conflict, KVUnavailable, KVConflict or
	// NotReady (not applied, and will not be); or KVUnknown (it may or may not
	// have been applied; the caller has to check the revision later).
	Code code.Code `cbor:"2,keyasint,omitempty"`
	// Revision is the one that the change created, or else the newest known.
	Revision int64          `cbor:"3,keyasint,omitempty"`
	Changes  []ConfigChange `cbor:"4,keyasint,omitempty"`
	// Problems are the reasons why the change was refused.
	Problems []api.Problem `cbor:"5,keyasint,omitempty"`
}

func (ApplyRequested) event() {}
func (ApplyDone) effect()     {}
