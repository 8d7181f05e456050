package front

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// configIndex is a configuration snapshot with an index of API keys. It is
// immutable.
type configIndex struct {
	*api.Snapshot
	// accountsByKey maps the SHA-256 digest of an API key to the client
	// account's name.
	accountsByKey map[[sha256.Size]byte]string
}

// newConfigIndex indexes client accounts in the order of their names, so that all
// entries assign a digest that two of them declare to the same client account.
func newConfigIndex(s *api.Snapshot) *configIndex {
	c := &configIndex{Snapshot: s, accountsByKey: map[[sha256.Size]byte]string{}}
	for _, name := range core.SortedKeys(s.ClientAccounts) {
		for _, text := range s.ClientAccounts[name].Spec.APIKeySHA256 {
			digest, err := hex.DecodeString(text)
			if err != nil || len(digest) != sha256.Size {
				continue
			}
			if _, taken := c.accountsByKey[[sha256.Size]byte(digest)]; !taken {
				c.accountsByKey[[sha256.Size]byte(digest)] = name
			}
		}
	}
	return c
}

// accountByKey returns the client account of an API key. It looks the key up by
// digest, so that the duration of the lookup reveals nothing about keys.
func (c *configIndex) accountByKey(key string) (string, bool) {
	name, ok := c.accountsByKey[sha256.Sum256([]byte(key))]
	return name, ok
}

// resolveTarget resolves "model", "model:adapter" or an adapter's name. A model
// takes precedence over an adapter of the same name.
func (c *configIndex) resolveTarget(name string) (core.Target, bool) {
	model, adapter, both := strings.Cut(name, ":")
	if both {
		a := c.Adapters[adapter]
		ok := a != nil && a.Spec.Base == model && c.Models[model] != nil
		return core.Target{Model: model, Adapter: adapter}, ok
	}
	if c.Models[name] != nil {
		return core.Target{Model: name}, true
	}
	a := c.Adapters[name]
	if a == nil || c.Models[a.Spec.Base] == nil {
		return core.Target{}, false
	}
	return core.Target{Model: a.Spec.Base, Adapter: name}, true
}

// defaultPriority returns the declared priority of a target: the adapter's, else
// the model's, else interactive.
func (c *configIndex) defaultPriority(t core.Target) api.Priority {
	var own, base api.Priority
	if a := c.Adapters[t.Adapter]; a != nil {
		own = a.Spec.Priority
	}
	if m := c.Models[t.Model]; m != nil {
		base = m.Spec.Priority
	}
	return cmp.Or(own, base, api.PriorityInteractive)
}
