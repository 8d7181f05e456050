package capacity

import (
	"io"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/defaults"
)

// Part names a part of the measurement.
type Part string

// The parts, in the order they run.
const (
	PartHosts       Part = "hosts"       // KV calls by fleet size, in virtual time
	PartConnections Part = "connections" // idle connections
	PartSlopes      Part = "slopes"      // costs in fleets of processes
	PartPropagation Part = "propagation" // time until a configuration change is in force
)

// Parts lists all parts.
func Parts() []Part { return []Part{PartHosts, PartConnections, PartSlopes, PartPropagation} }

// Options configure a run. All fields except Daemon have defaults, which apply
// where they are zero.
type Options struct {
	// Daemon is the path of the nutmeglaned binary.
	Daemon string
	// Parts lists the parts to run. Default all.
	Parts []Part
	// Settle is the time between the start of a fleet and its measurement,
	// Window the length of each measurement. Default 20 s each.
	Settle, Window time.Duration
	// Cases are the cases of PartSlopes. Default DefaultCases.
	Cases []Case
	// Hosts are the fleet sizes of PartHosts. Default 10, 100, 1000, 3000.
	Hosts []int
	// Connections are the numbers of connections of PartConnections. Default
	// 100, 1000, 5000.
	Connections []int
	// PropagationAgents is the number of agents of PartPropagation; its
	// entries are not included. Default 180.
	PropagationAgents int
	// PropagationChanges is the number of changes for each state of the KV
	// service. Default 20.
	PropagationChanges int
	// Progress receives one line of text for each step. Default io.Discard.
	Progress io.Writer
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.Settle, 20*time.Second)
	defaults.Set(&o.Window, 20*time.Second)
	defaults.Set(&o.PropagationAgents, 180)
	defaults.Set(&o.PropagationChanges, 20)
	if o.Parts == nil {
		o.Parts = Parts()
	}
	if o.Cases == nil {
		o.Cases = DefaultCases()
	}
	if o.Hosts == nil {
		o.Hosts = []int{10, 100, 1000, 3000}
	}
	if o.Connections == nil {
		o.Connections = []int{100, 1000, 5000}
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return o
}

func (o Options) wants(part Part) bool { return slices.Contains(o.Parts, part) }
