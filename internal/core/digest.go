package core

import "time"

// LoadDigest is sent by the coordinating router to all other routers and summarizes the
// load of the engines whose loaders follow it. In a large fleet it replaces the messages of
// each loader to each router every second. Loaders forward it.
type LoadDigest struct {
	// From is the router that created it.
	From HostID `cbor:"1,keyasint"`
	// Part is the group of routers that the loader forwards it to: those connected routers
	// whose index in the order of their names, modulo Parts, is Part.
	Part  int `cbor:"2,keyasint,omitempty"`
	Parts int `cbor:"3,keyasint"`
	// Config is the version of the configuration that From has.
	Config int64 `cbor:"4,keyasint,omitempty"`
	// Silent are the loaders that follow From and from which it receives no messages. All
	// other loaders that follow From are alive.
	Silent []HostID `cbor:"5,keyasint,omitempty"`
	// Engines holds the counts that receivers have to update.
	Engines []EngineCounts `cbor:"6,keyasint,omitempty"`
}

// EngineCounts are the counts of one engine.
type EngineCounts struct {
	_ struct{} `cbor:",toarray"`
	// Loader is the loader on the engine's host.
	Loader HostID
	// Age is how long before the digest the loader sent the counts.
	Age    time.Duration
	Counts Counts
}

func (LoadDigest) message() {}

// Counts returns the counts of h.
func (h *Holdings) Counts() Counts {
	return Counts{Running: h.Running, Waiting: h.Waiting, Unread: h.Unread, FreeMB: h.FreeMB, IdleMB: h.IdleMB}
}

// SetCounts replaces the counts of h.
func (h *Holdings) SetCounts(c Counts) {
	h.Running, h.Waiting, h.Unread, h.FreeMB, h.IdleMB = c.Running, c.Waiting, c.Unread, c.FreeMB, c.IdleMB
}

// ApproxEqual reports whether the difference between two counts is too small to affect
// where a router sends a request: an engine's counts always vary by one or two requests.
func (c Counts) ApproxEqual(other Counts) bool {
	near := func(x, y int) bool { return max(x-y, y-x) <= max(countTolerance, max(x, y)/4) }
	return near(c.Running+c.Waiting, other.Running+other.Waiting) && near(c.Unread, other.Unread)
}

// countTolerance is the difference, in requests, up to which changes of the counts of an
// engine's requests or of its unread prompts are not sent. For larger counts a quarter
// of the count applies.
const countTolerance = 1

// ExpectsUpdates reports whether the router that sent d needs messages from the loader
// itself, because its requests wait or run there or because Direct is set.
func (d *Demand) ExpectsUpdates() bool {
	if d.Direct || len(d.Wants) > 0 {
		return true
	}
	for i := range d.Uses {
		if d.Uses[i].Running > 0 {
			return true
		}
	}
	return false
}
