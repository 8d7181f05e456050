package core

import "time"

// LoadDigest is what the coordinating router tells all other routers of the engines whose
// loaders follow it. In a large fleet it takes the place of a word from each loader to each
// router each second. Loaders pass it on.
type LoadDigest struct {
	// From is the router that made it.
	From HostID `cbor:"1,keyasint"`
	// Part tells which routers a loader passes it on to: of Parts parts of those that are
	// connected, in the order of their names by turns.
	Part  int `cbor:"2,keyasint,omitempty"`
	Parts int `cbor:"3,keyasint"`
	// Config is the version of the configuration that From has.
	Config int64 `cbor:"4,keyasint,omitempty"`
	// Silent are the loaders that follow From and that it does not hear. All others that
	// do are alive.
	Silent []HostID `cbor:"5,keyasint,omitempty"`
	// Engines are those whose counts are to be known anew.
	Engines []EngineCounts `cbor:"6,keyasint,omitempty"`
}

// EngineCounts are the counts of one engine.
type EngineCounts struct {
	_ struct{} `cbor:",toarray"`
	// Loader is the one beside it.
	Loader HostID
	// Age is how long before the digest the loader told them.
	Age    time.Duration
	Counts Counts
}

func (LoadDigest) message() {}

// Counts returns the counts among holdings.
func (h *Holdings) Counts() Counts {
	return Counts{Running: h.Running, Waiting: h.Waiting, Unread: h.Unread, FreeMB: h.FreeMB, IdleMB: h.IdleMB}
}

// SetCounts replaces the counts among holdings.
func (h *Holdings) SetCounts(c Counts) {
	h.Running, h.Waiting, h.Unread, h.FreeMB, h.IdleMB = c.Running, c.Waiting, c.Unread, c.FreeMB, c.IdleMB
}

// ApproxEqual tells whether two counts make no difference to where a router sends a request: of
// an engine's requests one or two always come and go.
func (c Counts) ApproxEqual(other Counts) bool {
	near := func(x, y int) bool { return max(x-y, y-x) <= max(countsOff, max(x, y)/4) }
	return near(c.Running+c.Waiting, other.Running+other.Waiting) && near(c.Unread, other.Unread)
}

// countsOff is by how many requests the count of an engine, or of its unread
// prompts, may be off untold; of larger counts it is a quarter.
const countsOff = 1

// ExpectsUpdates tells whether the router that says so waits for words of the loader itself:
// requests of its wait there or run there, or it asks for them.
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
