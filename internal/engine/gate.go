package engine

import (
	"context"
	"sync"
)

// gate blocks the transfer of a run's answer while it is shut.
type gate struct {
	mu sync.Mutex
	// open is a channel that is closed while the gate is open.
	open chan struct{}
	shut bool
}

func newGate() *gate {
	open := make(chan struct{})
	close(open)
	return &gate{open: open}
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && !g.shut:
		g.open = make(chan struct{})
	case !shut && g.shut:
		close(g.open)
	}
	g.shut = shut
}

// wait waits until the gate is open. If the context ends first, it returns the
// context's cause.
func (g *gate) wait(ctx context.Context) error {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
