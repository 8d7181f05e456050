package policy

import (
	"fmt"
	"io/fs"
	"math/rand/v2"
	"path"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/examples"
	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/harness"
)

// The hosts. Rates are the defaults of the fake engine and the fake weight store.
const (
	engineHosts     = 12
	hostMemoryMiB   = 48 << 10
	hostDiskMiB     = 256 << 10
	hostCacheMiB    = 64 << 10
	laneMiBPerSec   = 500
	diskMiBPerSec   = 2000
	memoryMiBPerSec = 20000
	loadFixed       = 500 * time.Millisecond
	firstToken      = 30 * time.Millisecond
	// cachedShare is the probability that a checkpoint is on the disk of a given
	// host at the start. It is drawn for each host, so that caches differ.
	cachedShare = 0.1
)

// deployment has the declarations and availability zones of an example deployment.
type deployment struct {
	name     string
	snapshot *api.Snapshot
	zones    []core.Zone
	// service is the name of the only service without models, services the
	// number of its hosts.
	service  string
	services int
	// peakTasks are the name prefixes of the models and adapters that get more
	// requests on the peak day.
	peakTasks []string
}

func newDeployment(name string) (*deployment, error) {
	d := &deployment{name: name}
	switch name {
	case "helvarin":
		d.zones, d.service, d.services = []core.Zone{"bern-a", "bern-b", "olten"}, "akte", 3
		d.peakTasks = []string{"defect-line", "room-note", "meter-reading", "key-receipt"}
	case "agence":
		d.zones, d.service, d.services = []core.Zone{"yoff", "plateau", "ngor", "ouakam"}, "club-registry", 4
		d.peakTasks = []string{"rule-answer", "wind-advisory", "marshal-briefing", "line-tangle", "crowd-notice"}
	default:
		return nil, errors.Newf("unknown deployment %q", name)
	}
	var resources []api.Resource
	files, err := fs.Glob(examples.Deployments, path.Join(name, "*.jsonc"))
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		data, err := examples.Deployments.ReadFile(file)
		if err != nil {
			return nil, err
		}
		parsed, err := api.ParseFile(file, data)
		if err != nil {
			return nil, err
		}
		resources = append(resources, parsed...)
	}
	d.snapshot, err = api.Build(1, resources)
	return d, err
}

func (d *deployment) overridePrices(opts Options) {
	if opts.ColdStartPrice != 0 {
		d.snapshot.Deployment.ColdStartPrice = opts.ColdStartPrice
	}
	if opts.IdleHourPrice != 0 {
		d.snapshot.Deployment.IdleHourPrice = opts.IdleHourPrice
	}
}

// sizes has the key of a model or adapter, its accelerator memory and the size of
// its checkpoint in MiB. base is the key of the base model of an adapter.
type sizes struct {
	key, base      string
	memory, stored int64
}

func (d *deployment) sizes(name string) sizes {
	if m := d.snapshot.Models[name]; m != nil {
		return sizes{key: name + "@" + m.Spec.Version, memory: m.Spec.MemoryMiB, stored: m.Spec.CheckpointMiB}
	}
	a := d.snapshot.Adapters[name]
	return sizes{
		key: name + "@" + a.Spec.Version, base: d.sizes(a.Spec.Base).key,
		memory: a.Spec.MemoryMiB, stored: a.Spec.MemoryMiB,
	}
}

func hostName(i int) core.HostID  { return core.HostID(fmt.Sprintf("engine-%02d", i)) }
func entryName(i int) core.HostID { return core.HostID(fmt.Sprintf("entry-%d", i)) }

func (d *deployment) zone(i int) core.Zone { return d.zones[i%len(d.zones)] }

// newWorld returns a world with the deployment's weight store and configuration.
func (d *deployment) newWorld(seed uint64) *harness.World {
	w := harness.New(seed)
	w.Store.Lanes = d.snapshot.Deployment.StoreLanes
	w.Store.LoadsPerSecond = d.snapshot.Deployment.StoreLoadsPerSecond
	w.Store.MiBPerSecond = laneMiBPerSec
	w.SetConfig(d.snapshot)
	return w
}

// newEngines returns the engines. The contents of their caches depend on the seed
// only.
func (d *deployment) newEngines(w *harness.World, seed uint64) []*harness.Engine {
	draw := rand.New(rand.NewPCG(seed, cacheStream))
	var engines []*harness.Engine
	for range engineHosts {
		e := w.NewEngine(hostMemoryMiB, true)
		e.DiskMiBPerSecond, e.RAMMiBPerSecond = diskMiBPerSec, memoryMiBPerSec
		e.DiskMiB, e.RAMMiB = hostDiskMiB, hostCacheMiB
		e.FixedLoad, e.FirstToken = loadFixed, firstToken
		for _, name := range core.SortedKeys(d.snapshot.Models) {
			if draw.Float64() < cachedShare {
				s := d.sizes(name)
				e.Cache(s.key, s.stored)
			}
		}
		engines = append(engines, e)
	}
	return engines
}

// Stream numbers of the random generators, which share the seed.
const (
	cacheStream = 101
	traceStream = 102
	naiveStream = 103
)
