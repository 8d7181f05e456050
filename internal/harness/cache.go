package harness

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// cache lists the checkpoints cached for an engine: on the local disk and, for
// unloaded ones, in host memory. Each tier evicts the least recently used
// checkpoints first.
type cache struct {
	disk, memory []cached
}

type cached struct {
	key string
	mib int64
}

// put inserts key as the most recently used one of a tier of at most limit MiB
// (0: no limit). A checkpoint larger than the limit is not cached.
func put(tier []cached, key string, mib, limit int64) []cached {
	if limit > 0 && mib > limit {
		return tier
	}
	tier = append(slices.DeleteFunc(tier, func(c cached) bool { return c.key == key }), cached{key, mib})
	var sum int64
	for _, c := range tier {
		sum += c.mib
	}
	for limit > 0 && sum > limit {
		sum -= tier[0].mib
		tier = slices.Delete(tier, 0, 1)
	}
	return tier
}

func holds(tier []cached, key string) bool {
	return slices.ContainsFunc(tier, func(c cached) bool { return c.key == key })
}

// Cache adds a checkpoint to the cache on the engine's local disk.
func (e *Engine) Cache(key string, mib int64) {
	e.cache.disk = put(e.cache.disk, key, mib, e.DiskMiB)
}

// Tier returns the fastest tier that has a copy of a checkpoint.
func (e *Engine) Tier(key string) core.Tier {
	switch {
	case holds(e.cache.memory, key):
		return core.TierMemory
	case holds(e.cache.disk, key):
		return core.TierDisk
	}
	return core.TierRemote
}

// Rate returns the rate of a load from a tier in MiB/s. For the weight store it
// is the full speed, without contention.
func (e *Engine) Rate(tier core.Tier) float64 {
	switch tier {
	case core.TierMemory:
		return e.RAMMiBPerSecond
	case core.TierDisk:
		return e.DiskMiBPerSecond
	}
	return e.world.Store.MiBPerSecond
}

// LoadTime returns the duration of a load from a tier without concurrent loads.
func (e *Engine) LoadTime(tier core.Tier, mib int64) time.Duration {
	return e.FixedLoad + time.Duration(float64(mib)/e.Rate(tier)*float64(time.Second))
}

// fetch calls done when the checkpoint has been read from its fastest tier.
func (e *Engine) fetch(key string, mib int64, done func()) {
	tier := e.Tier(key)
	if tier != core.TierRemote {
		e.world.After(e.LoadTime(tier, mib)-e.FixedLoad, done)
		return
	}
	e.world.Store.Read(mib, done)
}

func (e *Engine) cachedList() []core.CachedCheckpoint {
	var list []core.CachedCheckpoint
	for _, c := range e.cache.memory {
		list = append(list, core.CachedCheckpoint{Key: c.key, Tier: core.TierMemory})
	}
	for _, c := range e.cache.disk {
		list = append(list, core.CachedCheckpoint{Key: c.key, Tier: core.TierDisk})
	}
	return list
}
