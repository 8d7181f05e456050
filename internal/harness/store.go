package harness

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Store is the fake weight store. Up to Lanes concurrent reads run at
// MiBPerSecond each; more reads share the bandwidth of Lanes reads.
// LoadsPerSecond limits the rate at which reads start (0: no limit); they start
// in order of arrival.
type Store struct {
	world          *World
	Lanes          int
	MiBPerSecond   float64
	LoadsPerSecond float64
	nextStart      core.Time
	reads          []*read
	advancedAt     core.Time
	epoch          int
	// Loads counts started reads; Busiest is the maximum number of concurrent
	// reads.
	Loads, Busiest int
}

// read is a checkpoint being read.
type read struct {
	left float64 // MiB
	done func()
}

// roundingMiB is the remaining size at which a read counts as complete; it
// absorbs rounding errors.
const roundingMiB = 1e-6

// Read calls done when size MiB have been read from the store.
func (s *Store) Read(size int64, done func()) {
	now, wait := s.world.now, time.Duration(0)
	if s.LoadsPerSecond > 0 {
		s.nextStart = max(s.nextStart, now)
		wait = s.nextStart.Sub(now)
		s.nextStart = s.nextStart.Add(time.Duration(float64(time.Second) / s.LoadsPerSecond))
	}
	s.world.After(wait, func() {
		s.advance()
		s.reads = append(s.reads, &read{left: float64(size), done: done})
		s.Loads++
		s.Busiest = max(s.Busiest, len(s.reads))
		s.scheduleNext()
	})
}

// rate returns the present rate of each read in MiB/s.
func (s *Store) rate() float64 {
	return s.MiBPerSecond * min(1, float64(s.Lanes)/float64(max(1, len(s.reads))))
}

// advance updates the remaining sizes of all reads to the present time.
func (s *Store) advance() {
	moved := s.world.now.Sub(s.advancedAt).Seconds() * s.rate()
	s.advancedAt = s.world.now
	for _, r := range s.reads {
		r.left -= moved
	}
}

// scheduleNext schedules the end of the read that completes first at the present
// rate. It replaces the previous schedule.
func (s *Store) scheduleNext() {
	s.epoch++
	if len(s.reads) == 0 {
		return
	}
	least := s.reads[0].left
	for _, r := range s.reads {
		least = min(least, r.left)
	}
	epoch := s.epoch
	s.world.After(time.Duration(max(0, least)/s.rate()*float64(time.Second))+1, func() {
		if s.epoch == epoch {
			s.finish()
		}
	})
}

func (s *Store) finish() {
	s.advance()
	var ended []*read
	s.reads = slices.DeleteFunc(s.reads, func(r *read) bool {
		if r.left <= roundingMiB {
			ended = append(ended, r)
		}
		return r.left <= roundingMiB
	})
	s.scheduleNext()
	for _, r := range ended {
		r.done()
	}
}
