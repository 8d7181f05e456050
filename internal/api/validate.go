package api

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strings"
)

// Limits of declared values. They prevent a typing error from using all memory of a
// fleet or exceeding the one-megabyte limit of a KV value.
const (
	MaxNameBytes       = 63
	MaxLabels          = 16
	MaxLabelBytes      = 253
	MaxMemoryMiB       = 16 << 20 // 16 TiB
	MaxReplicas        = 1024
	MaxConcurrentLimit = 4096
	MaxWeight          = 1_000_000
	MaxKeysPerAccount  = 64
	MaxListed          = 64
	MaxPrice           = 1e9
	MaxStoreLanes      = 1024
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
)

const (
	wantedName   = "1 to 63 lower-case letters, digits, '-' and '.', beginning and ending with a letter or digit"
	wantedDigest = "a SHA-256 digest of 64 lower-case hexadecimal digits"
)

// checker collects the problems of one resource.
type checker struct {
	resource Resource
	problems []Problem
}

func (c *checker) report(path string, got any, wanted string) {
	shown := fmt.Sprint(got)
	if text, ok := got.(string); ok {
		shown = fmt.Sprintf("%q", truncate(text))
	}
	c.problems = append(c.problems, c.resource.problem(path, shown, wanted))
}

func (c *checker) between(path string, got, least, most int64) {
	if got < least || got > most {
		c.report(path, got, fmt.Sprintf("%d to %d", least, most))
	}
}

func (c *checker) positive(path string, got, most float64) {
	if math.IsNaN(got) || got <= 0 || got > most {
		c.report(path, got, fmt.Sprintf("more than 0, at most %g", most))
	}
}

func (c *checker) name(path, got string) {
	if !namePattern.MatchString(got) {
		c.report(path, got, wantedName)
	}
}

func (c *checker) priority(path string, got Priority) {
	if got != "" && got != PriorityInteractive && got != PriorityBatch {
		c.report(path, string(got), fmt.Sprintf("%q or %q", PriorityInteractive, PriorityBatch))
	}
}

func (c *checker) replicas(got ReplicaLimits) {
	c.between("spec.replicas.max", int64(got.Max), 1, MaxReplicas)
	if got.Min < 0 || got.Min > got.Max {
		c.report("spec.replicas.min", got.Min, fmt.Sprintf("0 to spec.replicas.max (%d)", got.Max))
	}
}

// checkResource validates one resource whose defaults are set.
func checkResource(r Resource) []Problem {
	c := &checker{resource: r}
	if r.APIVersion != Version {
		c.report("apiVersion", r.APIVersion, fmt.Sprintf("%q", Version))
	}
	c.metadata(r.Metadata)
	switch spec := r.Spec.(type) {
	case *ModelSpec:
		c.model(spec)
	case *AdapterSpec:
		c.adapter(spec)
	case *ServiceSpec:
		c.service(spec)
	case *ClientAccountSpec:
		c.account(spec)
	case *DeploymentSpec:
		c.deployment(spec)
	}
	return c.problems
}

func (c *checker) metadata(m Metadata) {
	c.name("metadata.name", m.Name)
	if len(m.Labels) > MaxLabels {
		c.report("metadata.labels", len(m.Labels), fmt.Sprintf("at most %d labels", MaxLabels))
	}
	for _, key := range slices.Sorted(maps.Keys(m.Labels)) {
		c.name("metadata.labels."+key, key)
		if value := m.Labels[key]; len(value) > MaxLabelBytes {
			c.report("metadata.labels."+key, value, fmt.Sprintf("at most %d bytes", MaxLabelBytes))
		}
	}
	c.between("metadata.generation", m.Generation, 0, math.MaxInt64)
	c.between("metadata.resourceVersion", m.ResourceVersion, 0, math.MaxInt64)
}

func (c *checker) model(spec *ModelSpec) {
	c.name("spec.version", spec.Version)
	c.between("spec.memoryMiB", spec.MemoryMiB, 1, MaxMemoryMiB)
	if spec.MemoryMiB > 0 {
		c.between("spec.checkpointMiB", spec.CheckpointMiB, 1, MaxMemoryMiB)
	}
	c.replicas(spec.Replicas)
	c.priority("spec.priority", spec.Priority)
	c.between("spec.maxConcurrent", int64(spec.MaxConcurrent), 1, MaxConcurrentLimit)
}

func (c *checker) adapter(spec *AdapterSpec) {
	c.name("spec.base", spec.Base)
	c.name("spec.version", spec.Version)
	c.between("spec.memoryMiB", spec.MemoryMiB, 1, MaxMemoryMiB)
	c.replicas(spec.Replicas)
	c.priority("spec.priority", spec.Priority)
}

func (c *checker) service(spec *ServiceSpec) {
	c.listLength("spec.idempotentMethods", len(spec.IdempotentMethods))
	for i, method := range spec.IdempotentMethods {
		if !methodPattern.MatchString(method) {
			c.report(fmt.Sprintf("spec.idempotentMethods[%d]", i), method, "an HTTP method in capitals")
		}
	}
	c.listLength("spec.nonIdempotentPaths", len(spec.NonIdempotentPaths))
	for i, path := range spec.NonIdempotentPaths {
		if !strings.HasPrefix(path, "/") {
			c.report(fmt.Sprintf("spec.nonIdempotentPaths[%d]", i), path, "a path that begins with '/'")
		}
	}
	c.between("spec.maxConcurrent", int64(spec.MaxConcurrent), 1, MaxConcurrentLimit)
}

func (c *checker) listLength(path string, count int) {
	if count > MaxListed {
		c.report(path, count, fmt.Sprintf("at most %d elements", MaxListed))
	}
}

func (c *checker) account(spec *ClientAccountSpec) {
	if n := len(spec.APIKeySHA256); n < 1 || n > MaxKeysPerAccount {
		c.report("spec.apiKeySHA256", n, fmt.Sprintf("1 to %d digests", MaxKeysPerAccount))
	}
	for i, digest := range spec.APIKeySHA256 {
		if !digestPattern.MatchString(digest) {
			c.report(fmt.Sprintf("spec.apiKeySHA256[%d]", i), digest, wantedDigest)
		}
	}
	c.between("spec.weight", int64(spec.Weight), 1, MaxWeight)
}

func (c *checker) deployment(spec *DeploymentSpec) {
	if name := c.resource.Metadata.Name; name != DeploymentName {
		c.report("metadata.name", name, fmt.Sprintf("%q, the one Deployment that is read", DeploymentName))
	}
	c.positive("spec.coldStartPrice", spec.ColdStartPrice, MaxPrice)
	c.positive("spec.idleHourPrice", spec.IdleHourPrice, MaxPrice)
	c.positive("spec.storeLoadsPerSecond", spec.StoreLoadsPerSecond, MaxPrice)
	c.between("spec.storeLanes", int64(spec.StoreLanes), 1, MaxStoreLanes)
}
