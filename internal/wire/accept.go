package wire

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"strconv"

	"github.com/coder/websocket"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Path is the HTTP path at which connections are accepted.
const Path = "/wire"

// Handler returns the handler that accepts connections, to be mounted at Path.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, n.accept)
	return mux
}

func (n *Node) accept(w http.ResponseWriter, r *http.Request) {
	// The token bucket guards against a reconnect storm: after a restart or a
	// network fault all entries dial at once, handshakes time out, and the retries
	// sustain the storm. Excess upgrades are refused with a fast 503 before any
	// expensive work. Over loopback a refused dial takes about as long as an
	// accepted one, because both need a TCP connection (BenchmarkUpgrade). What a
	// refusal saves is what follows an upgrade: the connection's memory, Hello,
	// Status and Resume.
	if !n.upgrades.Allow() {
		n.opts.Metrics.UpgradeRefused()
		n.refuse(w, code.TooManyUpgrades)
		return
	}
	peer, incarnation, err := parseIdentity(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h := &handshake{cancel: func() {}}
	n.mu.Lock()
	open := n.beginHandshake(peer, h)
	n.mu.Unlock()
	if !open {
		n.refuse(w, code.Draining)
		return
	}
	n.upgrade(w, r, h, peer, incarnation)
}

func (n *Node) upgrade(w http.ResponseWriter, r *http.Request, h *handshake, peer core.HostID, incarnation core.Incarnation) {
	maps.Copy(w.Header(), n.identity())
	hijack := &hijacker{ResponseWriter: w, metrics: n.opts.Metrics}
	conn, err := websocket.Accept(hijack, r, nil)
	if err != nil {
		n.failHandshake(peer, h)
		return
	}
	l := newLink(n, peer, incarnation, conn, hijack.conn)
	if !n.finishHandshake(h, l) {
		l.discard()
	}
}

// refuse responds with 503 and a Retry-After of the time, in seconds, in which the
// bucket gains a token.
func (n *Node) refuse(w http.ResponseWriter, reason code.Code) {
	wait := math.Ceil(1 / float64(n.opts.UpgradeRate))
	w.Header().Set("Retry-After", strconv.Itoa(int(max(1, wait))))
	w.Header().Set("Connection", "close")
	http.Error(w, fmt.Sprintf("code %d", reason), http.StatusServiceUnavailable)
}
