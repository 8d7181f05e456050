// Package daemon assembles the processes (entry, agent, router and loader) from
// their settings: a reducer, what executes its effects, and the listeners.
package daemon

import (
	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/agent"
	"nutmeglane.example/nutmeglane/internal/core/config"
	"nutmeglane.example/nutmeglane/internal/core/entry"
	"nutmeglane.example/nutmeglane/internal/core/machine"
	"nutmeglane.example/nutmeglane/internal/core/observe"
	"nutmeglane.example/nutmeglane/internal/core/peers"
	"nutmeglane.example/nutmeglane/internal/core/permits"
	"nutmeglane.example/nutmeglane/internal/core/steward"
	"nutmeglane.example/nutmeglane/internal/settings"
)

// Blueprint contains everything needed to build the reducer of an entry or agent.
// It is written as the header of a recorded run, so that the run can be replayed.
type Blueprint struct {
	Role        settings.Role    `cbor:"1,keyasint"`
	Host        core.HostID      `cbor:"2,keyasint"`
	Incarnation core.Incarnation `cbor:"3,keyasint"`
	Zone        core.Zone        `cbor:"4,keyasint"`
	Seed        uint64           `cbor:"5,keyasint"`
	// Address is the "IP:port" that other processes dial (agents only).
	Address string           `cbor:"6,keyasint,omitempty"`
	Kind    core.BackendKind `cbor:"7,keyasint,omitempty"`
	Service string           `cbor:"8,keyasint,omitempty"`
	Timings core.Timings     `cbor:"9,keyasint"`
	Limits  Limits           `cbor:"10,keyasint"`
	// Backend is the base URL by which other hosts reach the engine (agents only).
	Backend string `cbor:"11,keyasint,omitempty"`
}

// Limits bound queues and buffers; see settings.Limits.
type Limits struct {
	QueueLength  int   `cbor:"1,keyasint"`
	QueueBytes   int64 `cbor:"2,keyasint"`
	StreamWindow int   `cbor:"3,keyasint"`
}

// Build creates the reducer.
func (b Blueprint) Build() (*machine.Machine, error) {
	switch b.Role {
	case settings.RoleEntry:
		return b.buildEntry(), nil
	case settings.RoleAgent:
		return b.buildAgent(), nil
	default:
		return nil, errors.Newf("unknown role %q", b.Role)
	}
}

func (b Blueprint) buildEntry() *machine.Machine {
	manager := peers.New(b.Seed)
	return machine.New(
		machine.Named{Name: "peers", Part: manager},
		machine.Named{Name: "config", Part: config.New(config.Config{KV: true, Incarnation: b.Incarnation})},
		machine.Named{Name: "entry", Part: entry.New(entry.Config{
			Host: b.Host, Incarnation: b.Incarnation, Zone: b.Zone, Seed: b.Seed, Timings: b.Timings,
			Limits: entry.Limits{
				QueueRequests: b.Limits.QueueLength, QueueBytes: b.Limits.QueueBytes,
				StreamWindow: uint32(b.Limits.StreamWindow),
			},
		}, manager)},
		// The steward must come after the entry part: both send a Hello on a new
		// connection, and the last one determines whether the agent reports here.
		machine.Named{Name: "steward", Part: steward.New(steward.Config{
			Host: b.Host, Incarnation: b.Incarnation, Zone: b.Zone,
			Address: b.Address, Timings: b.Timings, Seed: b.Seed,
		}, manager)},
		machine.Named{Name: "permits", Part: permits.New()},
		machine.Named{Name: "observe", Part: observe.New()},
	)
}

func (b Blueprint) buildAgent() *machine.Machine {
	return machine.New(
		machine.Named{Name: "config", Part: config.New(config.Config{Incarnation: b.Incarnation})},
		machine.Named{Name: "agent", Part: agent.New(agent.Config{
			Host: b.Host, Incarnation: b.Incarnation, Zone: b.Zone, Address: b.Address,
			Kind: b.Kind, Service: b.Service, Backend: b.Backend, Seed: b.Seed, Timings: b.Timings,
			Limits: agent.Limits{QueueCount: b.Limits.QueueLength, QueueBytes: int(b.Limits.QueueBytes)},
		})},
	)
}

// Counters returns the counters of all reducer parts of entries and agents.
func Counters() []core.CounterDef {
	var defs []core.CounterDef
	defs = append(defs, config.Counters()...)
	defs = append(defs, steward.Counters()...)
	defs = append(defs, entry.Counters()...)
	return append(defs, agent.Counters()...)
}
