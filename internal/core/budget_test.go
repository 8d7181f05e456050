package core

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// previousLimitReply and previousEngineSpec are the messages of the build before budgets.
type previousLimitReply struct {
	Server    ServerLife    `cbor:"1,keyasint"`
	Limit     ReportedLimit `cbor:"2,keyasint"`
	RequestID uint64        `cbor:"3,keyasint,omitempty"`
	Granted   bool          `cbor:"4,keyasint,omitempty"`
	Room      time.Duration `cbor:"5,keyasint,omitempty"`
	Spare     bool          `cbor:"6,keyasint,omitempty"`
	ColdFor   time.Duration `cbor:"7,keyasint,omitempty"`
}

type previousEngineSpec struct {
	ID           SpecID      `cbor:"1,keyasint"`
	MemoryMB     float64     `cbor:"2,keyasint"`
	AdapterSlots int         `cbor:"3,keyasint"`
	Models       []ModelSpec `cbor:"4,keyasint"`
}

// passed encodes a value and decodes it as another type, as between processes of two builds.
func passed[To, From any](t *testing.T, from From) (to To) {
	t.Helper()
	data, err := encMode.Marshal(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := decMode.Unmarshal(data, &to); err != nil {
		t.Fatal(err)
	}
	return to
}

// Guards against messages on budgets that processes of the previous build can't decode, and the
// reverse.
func TestBudgetMessagesOfTwoBuilds(t *testing.T) {
	server, named := ServerLife{Instance: "i-1", Born: 7}, ReportedLimit{Named: true, PerSecond: 3, ReceivedAgo: 1}
	reply := LimitReply{Server: server, Limit: named, RequestID: 9, Granted: true, Budget: 24.5, BudgetFor: 1500 * time.Millisecond}
	oldReply := previousLimitReply{Server: server, Limit: named, RequestID: 9, Granted: true}
	if diff := cmp.Diff(oldReply, passed[previousLimitReply](t, reply)); diff != "" {
		t.Error(diff)
	}
	reply.Budget, reply.BudgetFor = 0, 0
	if diff := cmp.Diff(reply, passed[LimitReply](t, oldReply)); diff != "" {
		t.Error(diff)
	}
	spec := EngineSpec{ID: SpecID{Version: 1, Hash: 2}, MemoryMB: 80_000, Models: []ModelSpec{{Name: "m"}}, Budget: &BudgetSpec{FirstEvent: time.Second}}
	oldSpec := previousEngineSpec{ID: spec.ID, MemoryMB: 80_000, Models: spec.Models}
	if diff := cmp.Diff(oldSpec, passed[previousEngineSpec](t, spec)); diff != "" {
		t.Error(diff)
	}
	spec.Budget = nil
	if diff := cmp.Diff(spec, passed[EngineSpec](t, oldSpec)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a configuration whose hash changes with the build although it has no budget:
// each router would send it to each loader again.
func TestSpecWithoutBudgetIsEncodedAsBefore(t *testing.T) {
	models := []ModelSpec{{Name: "m", MemoryMB: 16_000, StoreLoad: time.Second}}
	now, err := cbor.Marshal(EngineSpec{MemoryMB: 80_000, AdapterSlots: 3, Models: models})
	if err != nil {
		t.Fatal(err)
	}
	before, err := cbor.Marshal(previousEngineSpec{MemoryMB: 80_000, AdapterSlots: 3, Models: models})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(before, now); diff != "" {
		t.Error(diff)
	}
}

// Guards against renewals of budgets, which go to all routers twice a second, that are larger
// than a request's own header.
func TestBudgetRenewalIsSmall(t *testing.T) {
	data, err := EncodeMessage(LimitReply{Server: ServerLife{Instance: "i-4f6d9f84b0", Born: 1764745965123}, Budget: 23.4567, BudgetFor: 1500 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > 100 {
		t.Errorf("%d bytes, want at most 100", len(data))
	}
}

// FuzzLimitReply checks that no bytes make the decoder of limits panic.
func FuzzLimitReply(f *testing.F) {
	for _, reply := range []LimitReply{
		{}, {Server: ServerLife{Instance: "i-1", Born: 7}, Budget: 24.5, BudgetFor: 1500 * time.Millisecond},
		{RequestID: 9, Granted: true, Budget: -1, BudgetFor: -1},
	} {
		data, err := EncodeMessage(reply)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := DecodeMessage(data)
		if err != nil {
			return
		}
		if _, err := EncodeMessage(message); err != nil {
			t.Errorf("%T can't be encoded again: %v", message, err)
		}
	})
}
