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

// balanced is a relay in front of several targets. It stands for the network
// between two processes, or for the platform's balancer, which sends each
// connection to a target that says it is ready.
type balanced struct {
	*relay.Relay
	balances bool

	mu      sync.Mutex
	targets []string
	next    int
}

func newRelay(ts *testscript.TestScript, name string, balances bool) *balanced {
	b := &balanced{balances: balances}
	r, err := relay.New("127.0.0.1:0", b.connect)
	ts.Check(err)
	b.Relay = r
	ts.Setenv(name, r.Address())
	ts.Defer(r.Close)
	return b
}

// connect takes the targets in turn.
func (b *balanced) connect() (net.Conn, error) {
	b.mu.Lock()
	targets := slices.Concat(b.targets[b.next:], b.targets[:b.next])
	b.next = (b.next + 1) % max(1, len(b.targets))
	b.mu.Unlock()
	for _, target := range targets {
		if b.balances && !isReady(target) {
			continue
		}
		if conn, err := net.Dial("tcp", target); err == nil {
			return conn, nil
		}
	}
	return nil, errors.New("no target takes connections")
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

func (b *balanced) aim(targets []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets, b.next = targets, 0
}

func relayTo(balances bool) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		b := benchOf(ts)
		if b.relays[args[0]] == nil {
			b.relays[args[0]] = newRelay(ts, args[0], balances)
		}
		b.relays[args[0]].aim(args[1:])
	}
}

func blackhole(ts *testscript.TestScript, _ bool, args []string) {
	direction := map[string]relay.Direction{"in": relay.In, "out": relay.Out}[args[1]]
	benchOf(ts).relays[args[0]].Silence(direction)
}
