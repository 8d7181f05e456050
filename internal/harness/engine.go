package harness

import (
	"cmp"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Engine is the fake engine of one host. It believes every order that its
// fencing lets pass, as real engines do; the referee looks at the result.
type Engine struct {
	world *World
	owner *Process
	// MemoryMiB is the accelerator memory; Accelerators counts the units.
	MemoryMiB    int64
	Accelerators int
	Fencing      bool
	// DiskMiBPerSecond and RAMMiBPerSecond are rates of cached loads.
	DiskMiBPerSecond, RAMMiBPerSecond float64
	// DiskMiB bounds the local disk's cache (0: no bound); RAMMiB is the host
	// memory kept for unloaded checkpoints (0: none).
	DiskMiB, RAMMiB int64
	// FixedLoad is added to each load.
	FixedLoad time.Duration
	// FirstToken and PerToken time a run.
	FirstToken, PerToken time.Duration
	items                map[string]*item
	used                 int64
	cache                cache
	fences               map[string]uint64
	role                 core.EngineRole
	running              map[core.AttemptID]*run
	epoch                int
	// failNext makes the next loads die midway; loseNext loses the answers of
	// the next orders.
	failNext, loseNext int
	// RunsCut counts runs that an unload broke off.
	RunsCut int
}

type item struct {
	core.LoadedItem
	mib    int64 // size of the checkpoint
	since  core.Time
	loaded bool
	// running counts runs on it; busy sums the time with at least one.
	running   int
	busySince core.Time
	busy      time.Duration
}

// count notes that a run on the item, and on its base if it is an adapter,
// began (+1) or ended (-1).
func (e *Engine) count(key string, change int) {
	it := e.items[key]
	if it == nil {
		return
	}
	if it.running == 0 {
		it.busySince = e.world.now
	}
	it.running += change
	if it.running == 0 {
		it.busy += e.world.now.Sub(it.busySince)
	}
	if it.Base != "" {
		e.count(it.Base, change)
	}
}

// NewEngine returns an engine with round figures for its rates.
func (w *World) NewEngine(memoryMiB int64, fencing bool) *Engine {
	e := &Engine{
		world: w, MemoryMiB: memoryMiB, Accelerators: 1, Fencing: fencing,
		DiskMiBPerSecond: 3000, RAMMiBPerSecond: 12000, FixedLoad: 500 * time.Millisecond,
		FirstToken: 30 * time.Millisecond, PerToken: 20 * time.Millisecond,
	}
	e.Reset()
	return e
}

// Reset empties the engine, as a restart of its process does.
func (e *Engine) Reset() {
	e.epoch++
	e.world.Checker.needsCheck = true
	e.items, e.used = map[string]*item{}, 0
	e.cache, e.fences, e.role = cache{}, map[string]uint64{}, core.EngineServing
	e.running = map[core.AttemptID]*run{}
}

// FailLoads makes the next n loads die midway.
func (e *Engine) FailLoads(n int) { e.failNext = n }

// LoseAnswers makes the next n orders take effect while their answer is lost.
func (e *Engine) LoseAnswers(n int) { e.loseNext = n }

// Empty tells whether the engine holds nothing.
func (e *Engine) Empty() bool { return len(e.items) == 0 }

// Loaded tells whether the key is loaded.
func (e *Engine) Loaded(key string) bool { return e.items[key] != nil && e.items[key].loaded }

func (e *Engine) do(p *Process, effect core.Effect) {
	epoch, inc := e.epoch, p.Incarnation
	post := func(after time.Duration, event core.Event) {
		e.world.After(after, func() { p.postTo(inc, event) })
	}
	switch o := effect.(type) {
	case core.TakeInventory:
		e.world.After(time.Millisecond, func() { post(time.Millisecond, e.inventory()) })
	case core.Order:
		// The check that the shell makes right before sending.
		if p.clock() > o.NotAfter {
			post(0, core.OrderDone{Order: o.ID, Code: code.OrderExpired})
			return
		}
		e.world.After(time.Millisecond, func() {
			if e.epoch == epoch {
				e.order(o, post)
				return
			}
			post(0, core.OrderDone{Order: o.ID, Code: code.EngineUnknown})
		})
	case core.Run:
		e.run(p, o, post)
	case core.CancelRun:
		if e.end(o.Attempt) {
			post(time.Millisecond, core.RunProgress{Attempt: o.Attempt, Kind: core.FrameEnd, Code: code.Cancelled})
		}
	}
}

func (e *Engine) inventory() core.Inventory {
	inv := core.Inventory{MemoryMiB: e.MemoryMiB, ChecksFencing: e.Fencing}
	for _, key := range core.SortedKeys(e.items) {
		inv.Items = append(inv.Items, e.items[key].LoadedItem)
	}
	inv.Cached = e.cachedList()
	inv.Role, inv.RoleFence = e.role, e.fences[roleSlot]
	return inv
}

// roleSlot is what fences compare orders to change the role by: they have no
// key.
const roleSlot = ""

type poster func(time.Duration, core.Event)

func (e *Engine) order(o core.Order, post poster) {
	answer := func(after time.Duration, c code.Code) {
		if e.loseNext > 0 && c == code.OK {
			e.loseNext--
			c = code.EngineUnknown
			after += time.Second
		}
		post(after, core.OrderDone{Order: o.ID, Code: c})
	}
	fenced := cmp.Or(o.Base, o.Key)
	if e.Fencing && o.Fence < e.fences[fenced] {
		answer(0, code.FencedOut)
		return
	}
	e.fences[fenced] = max(e.fences[fenced], o.Fence)
	switch o.Kind {
	case core.OrderLoad:
		e.load(o, answer)
	case core.OrderUnload:
		e.unload(o, answer)
	case core.OrderRole:
		e.role = o.Role
		answer(0, code.OK)
	case core.OrderPrefetch:
		e.fetch(o.Key, o.CheckpointMiB, func() {
			e.Cache(o.Key, o.CheckpointMiB)
			answer(0, code.OK)
		})
	}
}

func (e *Engine) load(o core.Order, answer func(time.Duration, code.Code)) {
	if it := e.items[o.Key]; it != nil {
		if it.Busy {
			answer(0, code.EngineRefused)
			return
		}
		it.Fence = o.Fence
		answer(0, code.OK)
		return
	}
	if e.role == core.EngineDraining || o.Base != "" && !e.Loaded(o.Base) {
		answer(0, code.EngineRefused)
		return
	}
	e.used += o.MemoryMiB
	if e.used > e.MemoryMiB {
		e.world.Checker.ReportViolation("memory overcommitted at %s by %s: %d of %d MiB", e.owner.Host.ID, o.Key, e.used, e.MemoryMiB)
	}
	it := &item{mib: o.CheckpointMiB, LoadedItem: core.LoadedItem{Key: o.Key, Base: o.Base, MemoryMiB: o.MemoryMiB, Fence: o.Fence, Busy: true}, since: e.world.now}
	e.items[o.Key] = it
	e.world.Checker.loadStarted(e, o)
	fails := e.failNext > 0
	size := o.CheckpointMiB
	if fails {
		e.failNext--
		size /= 2
	}
	epoch := e.epoch
	e.fetch(o.Key, size, func() {
		e.world.After(e.FixedLoad, func() {
			if e.epoch == epoch {
				e.loaded(it, fails, answer)
			}
		})
	})
}

func (e *Engine) loaded(it *item, failed bool, answer func(time.Duration, code.Code)) {
	if failed {
		e.remove(it.Key)
		answer(0, code.EngineFailed)
		return
	}
	it.Busy, it.loaded = false, true
	e.Cache(it.Key, it.mib)
	answer(0, code.OK)
}

func (e *Engine) unload(o core.Order, answer func(time.Duration, code.Code)) {
	it := e.items[o.Key]
	if it == nil {
		answer(0, code.OK)
		return
	}
	if it.Busy || e.hasAdapters(o.Key) {
		answer(0, code.EngineRefused)
		return
	}
	it.Busy, it.loaded = true, false
	e.cutRuns(o.Key)
	epoch := e.epoch
	e.world.After(100*time.Millisecond, func() {
		if e.epoch != epoch {
			return
		}
		e.remove(o.Key)
		answer(0, code.OK)
	})
}

func (e *Engine) hasAdapters(base string) bool {
	for _, it := range e.items {
		if it.Base == base {
			return true
		}
	}
	return false
}

func (e *Engine) remove(key string) {
	if it := e.items[key]; it != nil {
		e.used -= it.MemoryMiB
		if e.RAMMiB > 0 && it.mib > 0 {
			e.cache.memory = put(e.cache.memory, key, it.mib, e.RAMMiB)
		}
		e.world.Checker.recordIdle(e, it, e.world.now)
		delete(e.items, key)
		e.world.Checker.needsCheck = true
	}
}
