package daemon_test

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/config"
	"nutmeglane.example/nutmeglane/internal/operator"
)

// benchConfigApplier puts configurations in force in the same way as the daemon.
type benchConfigApplier struct {
	snapshots config.SnapshotBuilder
	operator  *operator.Handler
	revision  int64
}

func (s *benchConfigApplier) apply(b *testing.B, applied core.ConfigApplied) core.Event {
	inForce, err := s.snapshots.Apply(applied)
	if err != nil {
		b.Fatal(err)
	}
	if s.operator != nil {
		s.operator.Update(inForce.Snapshot, inForce.Changed)
	}
	s.revision = applied.Revision
	return inForce
}
