package api

import "nutmeglane.example/nutmeglane/internal/defaults"

// Defaults of declared fields. They are set in the resource when it is parsed, so
// that daemons of different versions, with different defaults, use the same
// values.
const (
	DefaultReplicasMax         = 1
	DefaultModelConcurrent     = 8
	DefaultServiceConcurrent   = 16
	DefaultWeight              = 1
	DefaultColdStartPrice      = 1.0
	DefaultIdleHourPrice       = 20.0
	DefaultStoreLoadsPerSecond = 5.0
	DefaultStoreLanes          = 4
	// DeploymentName is the required name of the only Deployment.
	DeploymentName = "default"
)

// defaultIdempotentMethods returns the methods that RFC 9110 section 9.2.2 defines
// as idempotent, except TRACE.
func defaultIdempotentMethods() []string {
	return []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}
}

// applyDefaults sets omitted fields to their defaults, except an adapter's
// priority, which depends on its base and is set by Build.
func applyDefaults(r *Resource) {
	switch spec := r.Spec.(type) {
	case *ModelSpec:
		defaults.Set(&spec.CheckpointMiB, spec.MemoryMiB)
		defaults.Set(&spec.Replicas.Max, DefaultReplicasMax)
		defaults.Set(&spec.Priority, PriorityInteractive)
		defaults.Set(&spec.MaxConcurrent, DefaultModelConcurrent)
	case *AdapterSpec:
		defaults.Set(&spec.Replicas.Max, DefaultReplicasMax)
	case *ServiceSpec:
		if spec.IdempotentMethods == nil {
			spec.IdempotentMethods = defaultIdempotentMethods()
		}
		defaults.Set(&spec.MaxConcurrent, DefaultServiceConcurrent)
	case *ClientAccountSpec:
		defaults.Set(&spec.Weight, DefaultWeight)
	case *DeploymentSpec:
		defaultDeployment(spec)
	}
}

func defaultDeployment(spec *DeploymentSpec) {
	defaults.Set(&spec.ColdStartPrice, DefaultColdStartPrice)
	defaults.Set(&spec.IdleHourPrice, DefaultIdleHourPrice)
	defaults.Set(&spec.StoreLoadsPerSecond, DefaultStoreLoadsPerSecond)
	defaults.Set(&spec.StoreLanes, DefaultStoreLanes)
}
