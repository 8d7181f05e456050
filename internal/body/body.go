package body

import (
	"io"

	"nutmeglane.example/nutmeglane/internal/bodymemory"
	"nutmeglane.example/nutmeglane/internal/code"
)

const (
	// minSegment and maxSegment are the sizes, in bytes, of the first segment of a body and of its
	// later ones. They grow from one to the other, so that a body takes little more memory than has
	// arrived of it.
	minSegment = 4 << 10
	maxSegment = 64 << 10
	// overLimit is the number of bytes over the limit that are read to tell that a body is too large.
	overLimit = 1
)

// Body is the body of a request in memory. A nil Body is empty.
//
// It is kept in segments that are never copied. A single buffer would be copied each time that it
// grows, and its old copies would stay in memory until the next garbage collection.
type Body struct {
	memory *Memory
	id     bodymemory.ID
	// announced is the announced length, -1 without one, limit the largest length allowed.
	announced, limit int64
	// arrived is the number of bytes read. It is used by the goroutine that reads.
	arrived int64
	// interrupt makes a read in progress fail.
	interrupt func()

	// The rest is guarded by memory.mu until the body has been read to its end.

	// segments holds what was read. It is nil once the body was dropped or released.
	segments [][]byte
	// dropped is set if the body must not be read further.
	dropped bool
	// holders is the number of users of a body that was read.
	holders int
}

// Len returns the length in bytes.
func (b *Body) Len() int64 {
	if b == nil {
		return 0
	}
	return b.arrived
}

// Segments returns the contents, in parts. They must not be changed, nor used after Release.
func (b *Body) Segments() [][]byte {
	if b == nil {
		return nil
	}
	return b.segments
}

// Retain adds a holder, who calls Release too.
func (b *Body) Retain() {
	if b == nil {
		return
	}
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.holders++
}

// Release gives the memory back once all holders have called it.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.holders--
	if b.holders > 0 {
		return
	}
	b.segments = nil
	if !b.dropped {
		b.memory.stepLocked(bodymemory.Released{ID: b.id})
	}
	delete(b.memory.bodies, b.id)
}

// drop gives the memory back and interrupts reading. The caller holds memory.mu.
func (b *Body) drop() {
	b.dropped, b.segments = true, nil
	b.interrupt()
}

// readFrom reads the body to its end.
func (b *Body) readFrom(r io.Reader) error {
	var segment []byte
	for {
		if len(segment) == cap(segment) {
			size := b.nextSize(cap(segment))
			if err := b.reserve(size); err != nil {
				return err
			}
			segment = make([]byte, 0, size)
		}
		n, err := r.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		b.arrived += int64(n)
		if dropped := b.keep(segment, n); dropped != nil {
			return dropped
		}
		switch {
		case b.arrived > b.limit:
			return b.memory.tooLarge(b.arrived, b.limit)
		case err == io.EOF:
			return b.finish()
		case err != nil:
			return err
		}
	}
}

// nextSize returns the size of the segment that follows one of a size, 0 for the first one.
func (b *Body) nextSize(last int) int64 {
	size := int64(min(max(minSegment, 2*last), maxSegment))
	if b.announced >= 0 {
		size = min(size, b.announced-b.arrived)
	}
	size = min(size, b.limit+overLimit-b.arrived)
	return max(size, 1) // one byte tells that the body has ended
}

// reserve asks for the memory of a further segment.
func (b *Body) reserve(size int64) error {
	return b.ifNotDropped(func() error {
		if b.memory.stepLocked(bodymemory.Needed{ID: b.id, Bytes: size}).Refused {
			b.memory.counts.Refused++
			return b.full("the memory for bodies is taken")
		}
		b.segments = append(b.segments, nil)
		return nil
	})
}

// keep records the last segment, to which n bytes were added.
func (b *Body) keep(segment []byte, n int) error {
	return b.ifNotDropped(func() error {
		b.segments[len(b.segments)-1] = segment
		b.memory.stepLocked(bodymemory.Arrived{ID: b.id, Bytes: int64(n)})
		return nil
	})
}

// finish ends reading. From then on the body is not dropped.
func (b *Body) finish() error {
	return b.ifNotDropped(func() error {
		whole := bodymemory.Whole{ID: b.id}
		if last := len(b.segments) - 1; len(b.segments[last]) == 0 {
			whole.Unused = int64(cap(b.segments[last]))
			b.segments = b.segments[:last]
		}
		b.memory.stepLocked(whole)
		return nil
	})
}

// ifNotDropped calls f, which holds memory.mu, unless the body was dropped.
func (b *Body) ifNotDropped(f func() error) error {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	if b.dropped {
		return b.full("the memory for bodies is short, and the body came too slowly")
	}
	return f()
}

// full returns the error of a body for which there is no room. The caller holds memory.mu.
func (b *Body) full(reason string) error {
	return &Refusal{
		Code: code.BodiesFull, Reason: reason, RetryAfter: bodymemory.RetryAfter(b.id),
		Arrived: b.arrived, Memory: b.memory.stateLocked(),
	}
}
