package harness

import (
	"cmp"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Engine is the fake engine of one host. Like a real engine it carries out
// every order that passes its fencing check, even one that overcommits memory;
// the Checker evaluates the result.
type Engine struct {
	world *World
	owner *Process
	// MemoryMiB is the total accelerator memory; Accelerators is the number of
	// accelerators.
	MemoryMiB    int64
	Accelerators int
	Fencing      bool
	// DiskMiBPerSecond and RAMMiBPerSecond are the rates of loads from the local
	// disk and from host memory.
	DiskMiBPerSecond, RAMMiBPerSecond float64
	// DiskMiB limits the cache on the local disk (0: no limit); RAMMiB is the
	// host memory used to cache unloaded checkpoints (0: none).
	DiskMiB, RAMMiB int64
	// FixedLoad is the part of a load's duration that does not depend on size.
	FixedLoad time.Duration
	// FirstToken is the time from the start of a run to its first token;
	// PerToken is the time between two tokens.
	FirstToken, PerToken time.Duration
	items                map[string]*item
	used                 int64
	cache                cache
	fences               map[string]uint64
	role                 core.EngineRole
	running              map[core.AttemptID]*run
	epoch                int
	// failNext is the number of next loads that fail halfway; loseNext is the
	// number of next orders whose answers are lost.
	failNext, loseNext int
	// RunsCut counts runs aborted by an unload.
	RunsCut int
}

type item struct {
	core.LoadedItem
	mib    int64 // size of the checkpoint
	since  core.Time
	loaded bool
	// running counts the runs on the item; busy is the total time with at least
	// one run, excluding the present period, which began at busySince.
	running   int
	busySince core.Time
	busy      time.Duration
}

// count records that a run on the item, and on its base if it is an adapter,
// began (change is 1) or ended (-1).
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

// NewEngine returns an empty engine with default rates and one accelerator.
func (w *World) NewEngine(memoryMiB int64, fencing bool) *Engine {
	e := &Engine{
		world: w, MemoryMiB: memoryMiB, Accelerators: 1, Fencing: fencing,
		DiskMiBPerSecond: 3000, RAMMiBPerSecond: 12000, FixedLoad: 500 * time.Millisecond,
		FirstToken: 30 * time.Millisecond, PerToken: 20 * time.Millisecond,
	}
	e.Reset()
	return e
}

// Reset clears the engine's state, as a restart of the engine process does.
func (e *Engine) Reset() {
	e.epoch++
	e.world.Checker.needsCheck = true
	e.items, e.used = map[string]*item{}, 0
	e.cache, e.fences, e.role = cache{}, map[string]uint64{}, core.EngineServing
	e.running = map[core.AttemptID]*run{}
}

// FailLoads makes the next n loads fail halfway.
func (e *Engine) FailLoads(n int) { e.failNext = n }

// LoseAnswers makes the next n successful orders take effect without a usable
// answer: the process gets EngineUnknown.
func (e *Engine) LoseAnswers(n int) { e.loseNext = n }

// Empty reports whether the engine holds no checkpoint.
func (e *Engine) Empty() bool { return len(e.items) == 0 }

// Loaded reports whether the checkpoint with this key is completely loaded.
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
		// The I/O layer makes the same check immediately before sending.
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

// roleSlot is the key of the fencing number of role changes. These orders name
// no checkpoint.
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
