package scenario

import (
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"nutmeglane.example/nutmeglane/internal/relay"
)

// scriptRelay is a TCP relay to one or more targets. It simulates the network
// between two processes or, with checkReady, the platform's load balancer, which
// sends each connection to a target that reports ready.
type scriptRelay struct {
	*relay.Relay
	checkReady bool

	mu      sync.Mutex
	targets []string
	next    int
}

func newRelay(ts *testscript.TestScript, name string, checkReady bool) *scriptRelay {
	b := &scriptRelay{checkReady: checkReady}
	r, err := relay.New("127.0.0.1:0", b.connect)
	ts.Check(err)
	b.Relay = r
	ts.Setenv(name, r.Address())
	ts.Defer(r.Close)
	return b
}

// connectRounds is how often connect asks the targets. The targets are asked one after the
// other, so none of them may report ready in one round although one of them always was: the
// first became ready after it was asked, the second began to stop before it was. In the next
// round the first is ready.
const connectRounds = 2

// connect returns a connection to one of the targets.
func (b *scriptRelay) connect() (net.Conn, error) {
	for range connectRounds {
		if conn := b.connectOnce(); conn != nil {
			return conn, nil
		}
	}
	return nil, errors.New("no target accepts connections")
}

// connectOnce dials the targets in rotation. It returns nil if none accepts connections.
func (b *scriptRelay) connectOnce() net.Conn {
	b.mu.Lock()
	targets := slices.Concat(b.targets[b.next:], b.targets[:b.next])
	b.next = (b.next + 1) % max(1, len(b.targets))
	b.mu.Unlock()
	for _, target := range targets {
		if b.checkReady && !isReady(target) {
			continue
		}
		if conn, err := net.Dial("tcp", target); err == nil {
			return conn
		}
	}
	return nil
}

func isReady(target string) bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + target + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (b *scriptRelay) setTargets(targets []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets, b.next = targets, 0
}

func relayTo(checkReady bool) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		b := stateOf(ts)
		if b.relays[args[0]] == nil {
			b.relays[args[0]] = newRelay(ts, args[0], checkReady)
		}
		b.relays[args[0]].setTargets(args[1:])
	}
}

func blackhole(ts *testscript.TestScript, _ bool, args []string) {
	direction := map[string]relay.Direction{"in": relay.In, "out": relay.Out}[args[1]]
	stateOf(ts).relays[args[0]].Silence(direction)
}
