package core

// This file holds how a router that can't read the platform's store gets a configuration
// from another, by way of a loader.

// ConfigWanted asks for a configuration that is newer than a version. A router asks a
// loader, and a loader a router that has one.
type ConfigWanted struct {
	Above int64 `cbor:"1,keyasint,omitempty"`
}

// ConfigPassed is a whole configuration.
type ConfigPassed struct {
	Version int64 `cbor:"1,keyasint"`
	// Data is what fleet.EncodeConfig returns. It has digests of API keys, not the keys.
	Data []byte `cbor:"2,keyasint"`
}

// ConfigSpread is a configuration that a router has read and that a loader passes on to a
// part of all others, as in LoadDigest: in a large fleet each would read it otherwise.
type ConfigSpread struct {
	Part   int          `cbor:"1,keyasint,omitempty"`
	Parts  int          `cbor:"2,keyasint"`
	Config ConfigPassed `cbor:"3,keyasint"`
}

func (ConfigSpread) message() {}
func (ConfigWanted) message() {}
func (ConfigPassed) message() {}
