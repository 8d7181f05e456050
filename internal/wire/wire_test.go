package wire

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"nutmeglane.example/nutmeglane/internal/core"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// eventTimeout is how long a test waits for an event before it fails.
const eventTimeout = 20 * time.Second

// meter counts the measurements that tests check.
type meter struct {
	noMetrics
	refused, bad, stuck, bytesOut atomic.Int64
}

func (m *meter) UpgradeRefused() { m.refused.Add(1) }
func (m *meter) BadMessage()     { m.bad.Add(1) }
func (m *meter) StuckPeer()      { m.stuck.Add(1) }
func (m *meter) BytesOut(n int)  { m.bytesOut.Add(int64(n)) }

// process is a node with its posted events, its metrics and the address at which it
// accepts connections.
type process struct {
	*Node
	meter   *meter
	events  chan core.Event
	address string
}

func newProcess(t testing.TB, opts Options) *process {
	p := &process{meter: &meter{}, events: make(chan core.Event, 1<<18)}
	opts.Incarnation, opts.Metrics = 7, p.meter
	p.Node = New(opts, func(e core.Event) { p.events <- e })
	server := httptest.NewServer(p.Handler())
	p.address = server.Listener.Addr().String()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		p.Close(ctx)
		server.Close()
	})
	return p
}

func newPair(t testing.TB, opts Options) (entry, agent *process) {
	opts.Host = "agent"
	agent = newProcess(t, opts)
	opts.Host = "entry"
	return newProcess(t, opts), agent
}

func (p *process) next(t testing.TB) core.Event {
	t.Helper()
	select {
	case e := <-p.events:
		return e
	case <-time.After(eventTimeout):
		t.Fatal("no event was posted in time")
		return nil
	}
}

func (p *process) expect(t testing.TB, want core.Event) {
	t.Helper()
	if diff := cmp.Diff(want, p.next(t)); diff != "" {
		t.Fatalf("event (-want +got):\n%s", diff)
	}
}

func connect(t testing.TB, entry, agent *process, address string) {
	t.Helper()
	entry.Do(core.Dial{Peer: "agent", Address: address})
	entry.expect(t, core.PeerUp{Peer: "agent", Incarnation: 7})
	agent.expect(t, core.PeerUp{Peer: "entry", Incarnation: 7})
}

func dialRaw(t *testing.T, address, host string) *websocket.Conn {
	t.Helper()
	header := http.Header{HeaderHost: {host}, HeaderIncarnation: {"7"}}
	conn, _, err := websocket.Dial(t.Context(), "ws://"+address+Path, &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.CloseNow() })
	return conn
}

func leavingMessage(seq int) core.Message {
	return core.Leaving{Host: "x", Remaining: time.Duration(seq)}
}

func TestMessagesArriveInOrder(t *testing.T) {
	entry, agent := newPair(t, Options{})
	connect(t, entry, agent, agent.address)
	const count = 2000
	for i := range count {
		entry.Do(core.Send{To: "agent", Message: leavingMessage(i)})
		agent.Do(core.Send{To: "entry", Message: core.Frame{Seq: uint64(i), Payload: make([]byte, 100)}})
	}
	for i := range count {
		agent.expect(t, core.Received{From: "entry", Message: leavingMessage(i)})
		entry.expect(t, core.Received{From: "agent", Message: core.Frame{Seq: uint64(i), Payload: make([]byte, 100)}})
	}
}

// Guards against requests that wait on a connection of which a device between the
// two hosts has lost the state for one direction. TCP reports no error. Both ends
// have to detect it by unanswered pings, and the next connection has to work.
func TestConnectionSilentInOneDirection(t *testing.T) {
	for name, up := range map[string]bool{"towards agent": true, "towards entry": false} {
		t.Run(name, func(t *testing.T) {
			entry, agent := newPair(t, Options{PingInterval: 20 * time.Millisecond})
			path := newRelay(t, agent.address)
			connect(t, entry, agent, path.Addr().String())
			path.blackHole(up)
			entry.expect(t, core.PeerDown{Peer: "agent"})
			agent.expect(t, core.PeerDown{Peer: "entry"})
			connect(t, entry, agent, path.Addr().String())
			entry.Do(core.Send{To: "agent", Message: leavingMessage(1)})
			agent.expect(t, core.Received{From: "entry", Message: leavingMessage(1)})
		})
	}
}

// Guards against pings that take up more of a process's time the more peers it has.
func TestPingDelayGrowsWithTheConnections(t *testing.T) {
	opts := Options{PingInterval: 5 * time.Second, PingRate: 100}
	for connections, want := range map[int]time.Duration{0: 5 * time.Second, 500: 5 * time.Second, 1200: 12 * time.Second} {
		if got := opts.pingDelay(connections); got != want {
			t.Errorf("%d connections: a ping every %v, want %v", connections, got, want)
		}
	}
}

// Guards against a request that runs although its caller was informed that it did not:
// the entry loses its connection, resumes on a new one and receives NotStarted, and
// then the agent reads the Start that is still buffered on the old connection.
func TestReplacedConnectionIsNotRead(t *testing.T) {
	agent := newProcess(t, Options{Host: "agent"})
	old := dialRaw(t, agent.address, "entry")
	flood, _ := core.EncodeMessage(leavingMessage(1))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for old.Write(context.Background(), websocket.MessageBinary, flood) == nil {
		}
	}()
	agent.expect(t, core.PeerUp{Peer: "entry", Incarnation: 7})
	agent.expect(t, core.Received{From: "entry", Message: leavingMessage(1)})
	newer := dialRaw(t, agent.address, "entry")
	marker, _ := core.EncodeMessage(leavingMessage(2))
	for e := agent.next(t); e != (core.PeerUp{Peer: "entry", Incarnation: 7}); e = agent.next(t) {
	}
	<-ended
	newer.Write(t.Context(), websocket.MessageBinary, marker)
	agent.expect(t, core.Received{From: "entry", Message: leavingMessage(2)})
}

// Guards against the fault of TestReplacedConnectionIsNotRead in another order of
// events: the agent's goroutine that upgrades the old connection is delayed until
// the newer connection is established.
func TestLateUpgradeDoesNotReplaceNewerConnection(t *testing.T) {
	agent := newProcess(t, Options{Host: "agent"})
	late := &handshake{cancel: func() {}}
	agent.mu.Lock()
	agent.beginHandshake("entry", late)
	agent.mu.Unlock()
	dialRaw(t, agent.address, "entry")
	agent.expect(t, core.PeerUp{Peer: "entry", Incarnation: 7})
	if agent.finishHandshake(late, &link{node: agent.Node, peer: "entry"}) {
		t.Error("the older handshake replaced the newer connection")
	}
}

// Guards against an agent whose answers all stop because one entry hangs: it keeps
// its connection open and reads nothing. The agent must close the connection of that
// entry only, and another entry must receive all its messages meanwhile.
func TestOnlyThePeerThatStopsReadingIsDisconnected(t *testing.T) {
	entry, agent := newPair(t, Options{MaxQueue: 1 << 20, PingInterval: time.Minute})
	connect(t, entry, agent, agent.address)
	dialRaw(t, agent.address, "stuck")
	agent.expect(t, core.PeerUp{Peer: "stuck", Incarnation: 7})
	frame := core.Frame{Payload: make([]byte, 16<<10)}
	for agent.meter.stuck.Load() == 0 {
		if frame.Seq++; frame.Seq > 4096 {
			t.Fatal("64 MiB were queued for the stuck peer")
		}
		agent.Do(core.Send{To: "stuck", Message: frame})
		agent.Do(core.Send{To: "entry", Message: core.Cancel{Attempt: core.AttemptID{Attempt: uint32(frame.Seq)}}})
		entry.expect(t, core.Received{From: "agent", Message: core.Cancel{Attempt: core.AttemptID{Attempt: uint32(frame.Seq)}}})
	}
	agent.expect(t, core.PeerDown{Peer: "stuck"})
	agent.Do(core.Send{To: "entry", Message: leavingMessage(1)})
	entry.expect(t, core.Received{From: "agent", Message: leavingMessage(1)})
}

// Guards against a reconnect storm: after a deployment all entries dial an agent at
// once, and their handshakes time out again and again. The agent must refuse the
// excess before the upgrade, with a Retry-After.
func TestUpgradesOverTheRateAreRefusedEarly(t *testing.T) {
	entry, agent := newPair(t, Options{UpgradeRate: 0.01, UpgradeBurst: 1})
	connect(t, entry, agent, agent.address)
	entry.Do(core.Hangup{Peer: "agent"})
	agent.expect(t, core.PeerDown{Peer: "entry"})
	entry.Do(core.Dial{Peer: "agent", Address: agent.address})
	entry.expect(t, core.PeerDown{Peer: "agent"})
	response, err := http.Get("http://" + agent.address + Path)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != 503 || response.Header.Get("Retry-After") != "100" || agent.meter.refused.Load() != 2 {
		t.Errorf("got %s, Retry-After %q", response.Status, response.Header.Get("Retry-After"))
	}
}

// A process of an incompatible version sends a message that the agent can't decode.
// That must close its own connection, with a policy violation, and affect nothing
// else.
func TestUndecodableMessageClosesTheConnection(t *testing.T) {
	agent := newProcess(t, Options{Host: "agent"})
	conn := dialRaw(t, agent.address, "odd")
	conn.Write(t.Context(), websocket.MessageBinary, []byte{0x82, 0x19, 0xff, 0xff, 0x40})
	_, _, err := conn.Read(t.Context())
	if websocket.CloseStatus(err) != websocket.StatusPolicyViolation {
		t.Errorf("closed with %v, want a policy violation", err)
	}
	agent.expect(t, core.PeerUp{Peer: "odd", Incarnation: 7})
	agent.expect(t, core.PeerDown{Peer: "odd"})
	if got := agent.meter.bad.Load(); got != 1 {
		t.Errorf("bad messages counted: %d, want 1", got)
	}
}

// A host was replaced and its address assigned to another one: requests for the old
// agent must not reach the new one. A dial to an address that does not answer must
// report only PeerDown, and a dial that was cancelled or replaced nothing.
func TestFailedDialReportsOnlyPeerDown(t *testing.T) {
	entry, agent := newPair(t, Options{DialTimeout: 50 * time.Millisecond})
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	entry.Do(core.Dial{Peer: "other", Address: agent.address})
	entry.expect(t, core.PeerDown{Peer: "other"})
	entry.Do(core.Dial{Peer: "mute", Address: unresponsive.Addr().String()})
	entry.expect(t, core.PeerDown{Peer: "mute"})
	entry.Do(core.Dial{Peer: "mute", Address: unresponsive.Addr().String()})
	entry.Do(core.Hangup{Peer: "mute"})
	entry.Do(core.Dial{Peer: "agent", Address: unresponsive.Addr().String()})
	entry.Do(core.Dial{Peer: "agent", Address: agent.address})
	entry.expect(t, core.PeerUp{Peer: "agent", Incarnation: 7})
}

// An agent stops as planned right after its last frames. The caller must still
// receive them, and the entry must see a planned stop (code 1012), not a failure.
func TestCloseWritesOutTheQueue(t *testing.T) {
	agent := newProcess(t, Options{Host: "agent"})
	conn := dialRaw(t, agent.address, "entry")
	agent.expect(t, core.PeerUp{Peer: "entry", Incarnation: 7})
	const count = 1000
	for i := range count {
		agent.Do(core.Send{To: "entry", Message: leavingMessage(i)})
	}
	closed := make(chan error)
	go func() { closed <- agent.Close(context.Background()) }()
	received := 0
	var err error
	for data := []byte(nil); err == nil; _, data, err = conn.Read(t.Context()) {
		batch, bad := decodeBatch(data)
		if bad != nil {
			t.Fatal(bad)
		}
		received += len(batch)
	}
	if received != count || websocket.CloseStatus(err) != websocket.StatusServiceRestart {
		t.Errorf("received %d of %d, then %v", received, count, err)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
}
