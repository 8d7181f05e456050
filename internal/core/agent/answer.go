package agent

import (
	"sort"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// dataFrame is one data frame of an answer.
type dataFrame struct {
	seq     uint64
	count   uint32
	payload []byte
	sizes   []byte
	// end is the number of payload bytes of the answer up to and including this
	// frame.
	end int
}

// answer is what the backend server has sent for a job so far. Data frames are
// numbered from 0; those before first have been freed.
type answer struct {
	head   bool
	status int
	header []core.HeaderKV
	frames []dataFrame
	first  uint64
	// seq is the index of the next token or chunk; bytes is the sum of the
	// payload sizes, freed frames included.
	seq   uint64
	bytes int
	code  code.Code
	// keepAll retains every frame for attempts that join by idempotency key.
	keepAll bool
	paused  bool
}

// total returns the number of data frames received so far, freed ones included.
func (a *answer) total() uint64 { return a.first + uint64(len(a.frames)) }

func (a *answer) frame(number uint64) *dataFrame { return &a.frames[number-a.first] }

// bytesBefore returns the payload bytes of the frames before number.
func (a *answer) bytesBefore(number uint64) int {
	if number <= a.first {
		if len(a.frames) == 0 {
			return a.bytes
		}
		return a.frames[0].end - len(a.frames[0].payload)
	}
	return a.frame(number - 1).end
}

func (a *answer) add(ev core.RunProgress) {
	a.bytes += len(ev.Payload)
	a.frames = append(a.frames, dataFrame{
		seq: a.seq, count: ev.Count, payload: ev.Payload, sizes: ev.Sizes, end: a.bytes,
	})
	a.seq += uint64(ev.Count)
}

// frameAt returns the number of the frame that holds token or chunk seq, or
// total if that frame has not been received yet. It returns false if the frame
// was freed.
func (a *answer) frameAt(seq uint64) (uint64, bool) {
	if len(a.frames) == 0 {
		return a.first, seq >= a.seq || a.first == 0
	}
	if seq < a.frames[0].seq && a.first > 0 {
		return 0, false
	}
	i := sort.Search(len(a.frames), func(i int) bool {
		return a.frames[i].seq+uint64(a.frames[i].count) > seq
	})
	return a.first + uint64(i), true
}

// free drops the frames before number.
func (a *answer) free(number uint64) {
	n := int(number - a.first)
	clear(a.frames[:n])
	a.frames = a.frames[n:]
	a.first = number
}
