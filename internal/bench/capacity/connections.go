package capacity

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/wire"
)

// Idle is the cost of idle connections, at the default ping interval.
type Idle struct {
	Connections int `json:"connections"`
	// BytesPerEnd is the memory in use for one end of a connection, without
	// kernel buffers. WireBytesPerSecond is the rate at which one end sends.
	BytesPerEnd        float64 `json:"bytes_per_end"`
	WireBytesPerSecond float64 `json:"wire_bytes_per_second"`
	// CPUPerEnd is the fraction of a core that one end uses.
	CPUPerEnd   float64 `json:"cpu_per_end"`
	MachineLoad string  `json:"machine_load"`
}

// dialLimit limits the time for establishing all connections.
const dialLimit = time.Minute

// measureIdle connects count nodes to one accepting node, all in this process,
// and measures the connections while they are idle for opts.Window.
func measureIdle(ctx context.Context, opts Options, count int) (Idle, error) {
	ping := core.DefaultTimings().PingInterval
	meter := &byteMeter{}
	accepting := wire.New(wire.Options{
		Host: "agent", Incarnation: 1, PingInterval: ping, UpgradeRate: 1e6, UpgradeBurst: count, Metrics: meter,
	}, func(core.Event) {})
	server := httptest.NewServer(accepting.Handler())
	defer server.Close()
	defer closeNode(accepting)

	before := memoryInUse()
	up := make(chan bool, count)
	nodes := make([]*wire.Node, count)
	for i := range nodes {
		nodes[i] = wire.New(wire.Options{
			Host: core.HostID(fmt.Sprintf("entry-%d", i)), Incarnation: 1, PingInterval: ping, Metrics: meter,
		}, func(event core.Event) {
			_, isUp := event.(core.PeerUp)
			up <- isUp
		})
	}
	defer func() {
		for _, n := range nodes {
			n.Do(core.Hangup{Peer: "agent"})
		}
	}()
	if err := dialAll(ctx, nodes, server.Listener.Addr().String(), up); err != nil {
		return Idle{}, err
	}
	result := Idle{Connections: count}
	ends := float64(2 * count)
	result.BytesPerEnd = float64(memoryInUse()-before) / ends
	sent, cpu, begin := meter.out.Load(), fleet.OwnCPU(), time.Now()
	if err := pause(ctx, opts.Window); err != nil {
		return result, err
	}
	seconds := time.Since(begin).Seconds()
	result.WireBytesPerSecond = float64(meter.out.Load()-sent) / ends / seconds
	result.CPUPerEnd = (fleet.OwnCPU() - cpu).Seconds() / ends / seconds
	result.MachineLoad = fleet.MachineLoad()
	return result, nil
}

func dialAll(ctx context.Context, nodes []*wire.Node, address string, up <-chan bool) error {
	const maxPending = 64
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	waiting := 0
	await := func() error {
		select {
		case ok := <-up:
			waiting--
			if !ok {
				return errors.New("a connection was refused or lost")
			}
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for _, n := range nodes {
		if waiting == maxPending {
			if err := await(); err != nil {
				return err
			}
		}
		n.Do(core.Dial{Peer: "agent", Address: address})
		waiting++
	}
	for waiting > 0 {
		if err := await(); err != nil {
			return err
		}
	}
	return nil
}

func closeNode(n *wire.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = n.Close(ctx)
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// byteMeter is a wire metrics sink that counts the bytes sent.
type byteMeter struct{ out atomic.Int64 }

func (m *byteMeter) BytesIn(int)     {}
func (m *byteMeter) BytesOut(n int)  { m.out.Add(int64(n)) }
func (m *byteMeter) Connections(int) {}
func (m *byteMeter) UpgradeRefused() {}
func (m *byteMeter) BadMessage()     {}
func (m *byteMeter) StuckPeer()      {}
