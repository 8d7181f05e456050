package engine

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
)

// maxPrefixes limits the number of cached prefixes tracked. Cache events have
// gaps, so an eviction may be missed. The limit makes newer prefixes displace
// such stale ones.
const maxPrefixes = 256

// get fetches a JSON document from the engine.
func (e *Executor) get(path string, into any) error {
	ctx, cancel := context.WithTimeout(e.ctx, e.opts.InventoryTimeout)
	defer cancel()
	request, err := e.api.New().Get(path).Request()
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := e.api.Do(request.WithContext(ctx), into, nil)
	if err != nil {
		return errors.Wrapf(err, "get %s", path)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("get %s: status %d", path, response.StatusCode)
	}
	if response.ContentLength == 0 { // not decoded by sling
		return errors.Newf("get %s: answer without a body", path)
	}
	return nil
}

func (e *Executor) fetchInventory() (core.Inventory, error) {
	var reply engineapi.Inventory
	if err := e.get(engineapi.PathInventory, &reply); err != nil {
		return core.Inventory{}, err
	}
	inventory := core.Inventory{
		MemoryMiB:     reply.MemoryMiB,
		ChecksFencing: reply.ChecksFencing,
		Cached:        cachedCheckpoints(reply.Cached),
		Role:          coreRole(reply.Role),
		RoleFence:     reply.RoleFence,
	}
	for _, item := range reply.Items {
		inventory.Items = append(inventory.Items, core.LoadedItem(item))
	}
	return inventory, nil
}

// coreRole converts a role. It treats an unknown role as draining, so that nothing
// is loaded.
func coreRole(role engineapi.Role) core.EngineRole {
	if role == "" || role == engineapi.RoleServing {
		return core.EngineServing
	}
	return core.EngineDraining
}

func cachedCheckpoints(cached []engineapi.Cached) []core.CachedCheckpoint {
	var result []core.CachedCheckpoint
	for _, c := range cached {
		tier := core.TierDisk
		if c.Tier == engineapi.TierMemory {
			tier = core.TierMemory
		}
		result = append(result, core.CachedCheckpoint{Key: c.Key, Tier: tier})
	}
	return result
}

// watchLoad fetches load reports until Close.
func (e *Executor) watchLoad() {
	prefixes := &prefixSet{}
	working := true
	ticker := time.NewTicker(e.opts.LoadInterval)
	defer ticker.Stop()
	for e.ctx.Err() == nil {
		err := e.reportLoad(prefixes)
		if e.ctx.Err() == nil && (err == nil) != working {
			working = err == nil
			e.opts.Log.Info("engine load report status changed", "working", working, "error", err)
		}
		select {
		case <-ticker.C:
		case <-e.ctx.Done():
		}
	}
}

func (e *Executor) reportLoad(prefixes *prefixSet) error {
	var reply engineapi.Load
	if err := e.get(engineapi.PathLoad, &reply); err != nil {
		return err
	}
	prefixes.apply(reply)
	e.post(core.EngineLoad{
		Running:  reply.Running,
		Queued:   reply.Queued,
		Prefixes: slices.Clone(prefixes.hashes),
		Cached:   cachedCheckpoints(reply.Cached),
	})
	return nil
}

// prefixSet tracks the engine's cached prefixes from its cache events.
type prefixSet struct {
	epoch    uint64
	sequence uint64
	hashes   []uint64
}

// apply applies the events of a report that are newer than those already applied.
func (p *prefixSet) apply(load engineapi.Load) {
	if load.Epoch != p.epoch {
		*p = prefixSet{epoch: load.Epoch}
	}
	for _, event := range load.Events {
		if event.Sequence <= p.sequence {
			continue
		}
		p.sequence = event.Sequence
		p.hashes = slices.DeleteFunc(p.hashes, func(h uint64) bool { return h == event.Prefix })
		if !event.Evicted {
			p.hashes = append(p.hashes, event.Prefix)
		}
	}
	p.hashes = p.hashes[max(0, len(p.hashes)-maxPrefixes):]
}
