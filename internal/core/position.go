package core

import (
	"cmp"
	"fmt"
)

// StorePosition is a point in the history of the platform's store. If the store is restored
// from a copy that is some seconds old, its revisions go back and are reused, and its era
// increases by one. Positions of different eras share no history.
type StorePosition struct {
	Era int64 `cbor:"1,keyasint,omitempty"`
	// Revision is the store's change counter, 0 if there were no changes.
	Revision int64 `cbor:"2,keyasint,omitempty"`
}

// Compare orders positions by era, then by revision.
func (p StorePosition) Compare(other StorePosition) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// String returns "era/revision".
func (p StorePosition) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }
