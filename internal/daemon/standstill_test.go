package daemon

import (
	"testing"
	"time"
)

// Guards against a stop limit that is counted from the handling of a SIGTERM that came while the
// process stood still, in each order in which what has gathered is handled afterwards.
func TestSignalHandledAfterAStandstillCountsFromItsBegin(t *testing.T) {
	begin := time.Now()
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	running := func() *standstill {
		s := &standstill{}
		for d := time.Duration(0); d <= 2*time.Second; d += schedLatencyInterval {
			s.beat(at(d))
		}
		return s
	}
	s := running()
	if late := s.lateness(at(2100 * time.Millisecond)); late != 0 {
		t.Errorf("%v late although the process runs", late)
	}
	if late := s.lateness(at(5 * time.Second)); late != 3*time.Second {
		t.Errorf("%v late before the first beat after a standstill of 3 s", late)
	}
	s.beat(at(5 * time.Second))
	if late := s.lateness(at(5100 * time.Millisecond)); late != 3100*time.Millisecond {
		t.Errorf("%v late after the first beat after a standstill of 3 s", late)
	}
	if late := s.lateness(at(6 * time.Second)); late != 4*time.Second {
		t.Errorf("%v late in a second standstill right after the first one", late)
	}
	for d := 5 * time.Second; d <= 7*time.Second; d += schedLatencyInterval {
		s.beat(at(d))
	}
	if late := s.lateness(at(7 * time.Second)); late != 0 {
		t.Errorf("%v late two seconds after a standstill", late)
	}
	if late := (&standstill{}).lateness(at(0)); late != 0 {
		t.Errorf("%v late before the first beat", late)
	}
}
