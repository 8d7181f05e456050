package core

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// limitRequestNumber is the type number of LimitRequest in the catalog of messages.
const limitRequestNumber = 31

// previousLimitRequest is LimitRequest in the previous build.
type previousLimitRequest struct {
	Server    ServerLife    `cbor:"1,keyasint"`
	Limit     ReportedLimit `cbor:"2,keyasint"`
	RequestID uint64        `cbor:"3,keyasint,omitempty"`
	Spare     bool          `cbor:"4,keyasint,omitempty"`
	Uncounted []float64     `cbor:"5,keyasint,omitempty"`
	ColdFor   time.Duration `cbor:"6,keyasint,omitempty"`
}

var previousMessages = newCatalog(map[uint16]any{limitRequestNumber: previousLimitRequest{}})

func testLoad() *ServerLoad {
	return &ServerLoad{Running: 6, Waiting: 24, Slots: 6, Usual: 33 * time.Millisecond, Objective: 150 * time.Millisecond}
}

func previousRequest() previousLimitRequest {
	return previousLimitRequest{
		Server: ServerLife{Instance: "s0", Born: 5}, Limit: ReportedLimit{Named: true, PerSecond: 3, SentAgo: 2, ReceivedAgo: 1},
		RequestID: 7, Spare: true, Uncounted: []float64{1, 2}, ColdFor: time.Second,
	}
}

// encodeRequest encodes a value as the body of a LimitRequest.
func encodeRequest(t testing.TB, value any) []byte {
	t.Helper()
	body, err := encMode.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	data, err := encMode.Marshal(envelope{Type: limitRequestNumber, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Routers of the previous build send no load. Their requests must be decoded as before.
func TestLimitRequestOfThePreviousBuildIsDecoded(t *testing.T) {
	got, err := DecodeMessage(encodeRequest(t, previousRequest()))
	if err != nil {
		t.Fatal(err)
	}
	p := previousRequest()
	want := LimitRequest{Server: p.Server, Limit: p.Limit, RequestID: p.RequestID, Spare: p.Spare, Uncounted: p.Uncounted, ColdFor: p.ColdFor}
	if diff := cmp.Diff(Message(want), got); diff != "" {
		t.Error(diff)
	}
}

// Loaders of the previous build must be able to decode a request with a load, and ignore the
// load.
func TestThePreviousBuildDecodesALimitRequestWithLoad(t *testing.T) {
	p := previousRequest()
	data, err := EncodeMessage(LimitRequest{Server: p.Server, Limit: p.Limit, RequestID: p.RequestID, Spare: p.Spare, Uncounted: p.Uncounted, ColdFor: p.ColdFor, Load: testLoad()})
	if err != nil {
		t.Fatal(err)
	}
	got, err := previousMessages.decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(any(p), got); diff != "" {
		t.Error(diff)
	}
}

// A request without a load must have the bytes of the previous build: the part costs nothing
// where it is off.
func TestLimitRequestWithoutLoadIsEncodedAsBefore(t *testing.T) {
	p := previousRequest()
	data, err := EncodeMessage(LimitRequest{Server: p.Server, Limit: p.Limit, RequestID: p.RequestID, Spare: p.Spare, Uncounted: p.Uncounted, ColdFor: p.ColdFor})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(encodeRequest(t, p), data); diff != "" {
		t.Error(diff)
	}
}

// A load that is out of range or of other types must not count as valid, and must not make the
// message undecodable: that would close the connection of all messages between two processes.
func TestMalformedServerLoadIsNotValid(t *testing.T) {
	change := func(f func(*ServerLoad)) any {
		load := testLoad()
		f(load)
		return load
	}
	loads := map[string]any{
		"negative running":   change(func(l *ServerLoad) { l.Running = -1 }),
		"negative waiting":   change(func(l *ServerLoad) { l.Waiting = -1 }),
		"too many waiting":   change(func(l *ServerLoad) { l.Waiting = 10_001 }),
		"no slots":           change(func(l *ServerLoad) { l.Slots = 0 }),
		"too many slots":     change(func(l *ServerLoad) { l.Slots = 10_001 }),
		"no usual time":      change(func(l *ServerLoad) { l.Usual = 0 }),
		"negative objective": change(func(l *ServerLoad) { l.Objective = -time.Second }),
		"endless usual time": change(func(l *ServerLoad) { l.Usual = time.Hour }),
		"text":               "6/24/6",
		"number":             24,
		"list":               []int{6, 24, 6},
		"text as a number":   map[int]any{1: "six", 2: 24, 3: 6, 4: 1, 5: 1},
		"number too large":   map[int]any{1: 6, 2: uint64(1 << 63), 3: 6, 4: 1, 5: 1},
	}
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			m, err := DecodeMessage(encodeRequest(t, map[int]any{1: ServerLife{Instance: "s0"}, 2: ReportedLimit{}, 11: load}))
			if err != nil {
				t.Fatal(err)
			}
			if got := m.(LimitRequest).Load; got == nil || got.Valid() {
				t.Errorf("decoded as %+v, want a value that is not valid", got)
			}
		})
	}
}

// Load reports go with each request for a permit of a server with a budget, so that they must
// stay small.
func TestServerLoadIsSmall(t *testing.T) {
	data, err := encMode.Marshal(testLoad())
	if err != nil {
		t.Fatal(err)
	}
	const most = 40
	if len(data) > most {
		t.Errorf("a load has %d bytes, want at most %d", len(data), most)
	}
}

// Any bytes must either be refused or yield a request whose load is nil, not valid, or the same
// after another encoding.
func FuzzLimitRequestLoad(f *testing.F) {
	f.Add(encodeRequest(f, LimitRequest{Server: ServerLife{Instance: "s0"}, Load: testLoad()}))
	f.Add(encodeRequest(f, map[int]any{1: ServerLife{Instance: "s0"}, 2: ReportedLimit{}, 11: "text"}))
	f.Add(encodeRequest(f, previousRequest()))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMessage(data)
		if err != nil {
			return
		}
		request, ok := m.(LimitRequest)
		if !ok || request.Load == nil || !request.Load.Valid() {
			return
		}
		again, err := cbor.Marshal(request.Load)
		if err != nil {
			t.Fatal(err)
		}
		var load ServerLoad
		if err := decMode.Unmarshal(again, &load); err != nil || load != *request.Load {
			t.Errorf("%+v became %+v: %v", *request.Load, load, err)
		}
	})
}
