package core

// This file defines the messages by which a router that can't read the platform's store
// gets the configuration from another router, by way of a loader.

// ConfigWanted requests a configuration that is newer than the version Above. A router
// sends it to a loader, and a loader sends it to a router that has one.
type ConfigWanted struct {
	Above int64 `cbor:"1,keyasint,omitempty"`
}

// ConfigPassed is a whole configuration.
type ConfigPassed struct {
	Version int64 `cbor:"1,keyasint"`
	// Data is encoded by fleet.EncodeConfig. It holds digests of API keys, not the keys.
	Data []byte `cbor:"2,keyasint"`
}

// ConfigSpread is a configuration that a router has read and that a loader forwards to
// the part Part of Parts of all other routers (see LoadDigest). It saves the other routers
// of a large fleet from each reading the configuration from the store.
type ConfigSpread struct {
	Part   int          `cbor:"1,keyasint,omitempty"`
	Parts  int          `cbor:"2,keyasint"`
	Config ConfigPassed `cbor:"3,keyasint"`
}

func (ConfigSpread) message() {}
func (ConfigWanted) message() {}
func (ConfigPassed) message() {}
