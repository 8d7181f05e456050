package front

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// view is a snapshot with an index of API keys. It is immutable.
type configIndex struct {
	*api.Snapshot
	accountsByKey map[[sha256.Size]byte]string
}

// newView ranges in the order of names, so that all entries give a digest that
// two client accounts declare to the same one.
func newConfigIndex(s *api.Snapshot) *configIndex {
	v := &configIndex{Snapshot: s, accountsByKey: map[[sha256.Size]byte]string{}}
	for _, name := range core.SortedKeys(s.ClientAccounts) {
		for _, text := range s.ClientAccounts[name].Spec.APIKeySHA256 {
			digest, err := hex.DecodeString(text)
			if err != nil || len(digest) != sha256.Size {
				continue
			}
			if _, taken := v.accountsByKey[[sha256.Size]byte(digest)]; !taken {
				v.accountsByKey[[sha256.Size]byte(digest)] = name
			}
		}
	}
	return v
}

// client account looks an API key up by its digest, so that the time of the look-up
// tells nothing about keys.
func (v *configIndex) accountByKey(key string) (string, bool) {
	name, ok := v.accountsByKey[sha256.Sum256([]byte(key))]
	return name, ok
}

// target resolves "model", "model:adapter" or an adapter's own name. A model
// goes before an adapter of the same name.
func (v *configIndex) resolveTarget(name string) (core.Target, bool) {
	model, adapter, both := strings.Cut(name, ":")
	if both {
		a := v.Adapters[adapter]
		ok := a != nil && a.Spec.Base == model && v.Models[model] != nil
		return core.Target{Model: model, Adapter: adapter}, ok
	}
	if v.Models[name] != nil {
		return core.Target{Model: name}, true
	}
	a := v.Adapters[name]
	if a == nil || v.Models[a.Spec.Base] == nil {
		return core.Target{}, false
	}
	return core.Target{Model: a.Spec.Base, Adapter: name}, true
}

// priority returns the declared default priority of a target.
func (v *configIndex) defaultPriority(t core.Target) api.Priority {
	var own, base api.Priority
	if a := v.Adapters[t.Adapter]; a != nil {
		own = a.Spec.Priority
	}
	if m := v.Models[t.Model]; m != nil {
		base = m.Spec.Priority
	}
	return cmp.Or(own, base, api.PriorityInteractive)
}
