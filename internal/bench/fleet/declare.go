package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"nutmeglane.example/nutmeglane/internal/api"
)

// APIKey is the API key of the client account that Declare declares.
const APIKey = "nk-bench-0123456789"

// CheckpointVersion is the version of all models and adapters that Declare
// declares.
const CheckpointVersion = "1"

// ModelMemoryMiB is the accelerator memory that each declared model needs.
const ModelMemoryMiB = 64

const adapterMemoryMiB = 1

// Declaration has the numbers of resources to declare. Replicas is per model,
// Adapters of all models together.
type Declaration struct {
	Models, Replicas, Adapters int
	// MaxConcurrent is the number of requests that a replica runs concurrently.
	MaxConcurrent int
	// KeepLoaded is the number of replicas of each model that stay loaded when
	// idle.
	KeepLoaded int
}

// ModelName returns the name of the i-th model.
func ModelName(i int) string { return fmt.Sprintf("model-%03d", i) }

// AdapterName returns the name of the i-th adapter.
func AdapterName(i int) string { return fmt.Sprintf("adapter-%05d", i) }

// Declare returns the resources of a declaration. The adapters are distributed
// evenly over the models.
func Declare(d Declaration) []api.Resource {
	digest := sha256.Sum256([]byte(APIKey))
	resources := []api.Resource{
		resource(api.KindClientAccount, "bench", &api.ClientAccountSpec{APIKeySHA256: []string{hex.EncodeToString(digest[:])}, Weight: 1}),
	}
	for i := range d.Models {
		resources = append(resources, resource(api.KindModel, ModelName(i), &api.ModelSpec{
			Version: CheckpointVersion, MemoryMiB: ModelMemoryMiB, CheckpointMiB: ModelMemoryMiB,
			Priority: api.PriorityInteractive, MaxConcurrent: max(1, d.MaxConcurrent),
			Replicas: api.ReplicaLimits{Min: d.KeepLoaded, Max: max(1, d.Replicas)},
		}))
	}
	for i := range d.Adapters {
		resources = append(resources, Adapter(i, i%d.Models, adapterMemoryMiB))
	}
	return resources
}

// Adapter returns the resource of the i-th adapter, based on the given model.
func Adapter(i, model int, memoryMiB int64) api.Resource {
	return resource(api.KindAdapter, AdapterName(i), &api.AdapterSpec{
		Base: ModelName(model), Version: CheckpointVersion, MemoryMiB: memoryMiB,
		Replicas: api.ReplicaLimits{Max: 1},
	})
}

func resource(kind api.Kind, name string, spec any) api.Resource {
	return api.Resource{APIVersion: api.Version, Kind: kind, Metadata: api.Metadata{Name: name}, Spec: spec}
}
