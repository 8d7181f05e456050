package wire

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"golang.org/x/time/rate"

	"nutmeglane.example/nutmeglane/internal/core"
)

// errSuperseded is the cause of closing a connection that was replaced or hung
// up.
var errSuperseded = errors.New("wire: connection is no longer wanted")

// Node holds the connections of one process, at most one per peer.
type Node struct {
	opts Options
	post func(core.Event)
	// upgrades is the token bucket of accepted connections.
	upgrades *rate.Limiter
	// tasks counts the goroutines that Close waits for.
	tasks sync.WaitGroup
	// open is the number of links, for those who don't hold mu.
	open atomic.Int64

	// mu guards the fields below and is held while events are posted. That
	// gives them one order: once a connection is no longer in links, nothing
	// of it is posted.
	mu      sync.Mutex
	closed  bool
	links   map[core.HostID]*link
	pending map[core.HostID]*handshake
}

// handshake is a connection being set up. Only the newest one of a peer may
// become its connection.
type handshake struct {
	// address is empty on the accepting side.
	address string
	cancel  context.CancelFunc
}

// New returns a node without connections. It reports events through post,
// which must not block and must not call the node. Call Close in the end.
func New(opts Options, post func(core.Event)) *Node {
	opts = opts.withDefaults()
	return &Node{
		opts:     opts,
		post:     post,
		upgrades: rate.NewLimiter(opts.UpgradeRate, opts.UpgradeBurst),
		links:    map[core.HostID]*link{},
		pending:  map[core.HostID]*handshake{},
	}
}

// Do starts a Dial, Hangup or Send effect and reports whether the effect is
// one of these. It never waits for the network and posts nothing itself.
func (n *Node) Do(effect core.Effect) bool {
	switch e := effect.(type) {
	case core.Dial:
		n.dial(e.Peer, e.Address)
	case core.Hangup:
		n.hangup(e.Peer)
	case core.Send:
		n.send(e.To, e.Message)
	default:
		return false
	}
	return true
}

func (n *Node) send(to core.HostID, message core.Message) {
	n.SendAll([]core.HostID{to}, message)
}

// SendAll sends a message to peers, as a Send effect to each would, but encodes it
// once: a process that tells 68 peers the same spends most of its time on that.
func (n *Node) SendAll(to []core.HostID, message core.Message) {
	links := n.connected(to)
	if len(links) == 0 {
		return
	}
	// Encoded here and not by the writer, because the message may share slices
	// with the reducer's state, which changes as soon as this returns.
	data, err := core.EncodeMessage(message)
	for _, l := range links {
		if err != nil {
			l.abort(errors.Wrap(err, "message can't be sent"))
			continue
		}
		l.enqueue(data)
	}
}

// connected returns the connections to those peers that have one.
func (n *Node) connected(peers []core.HostID) []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil
	}
	links := make([]*link, 0, len(peers))
	for _, peer := range peers {
		if l := n.links[peer]; l != nil {
			links = append(links, l)
		}
	}
	return links
}

func (n *Node) hangup(peer core.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancelPending(peer)
	if l := n.remove(peer); l != nil {
		l.shut(websocket.StatusNormalClosure, "hangup")
		time.AfterFunc(closeTimeout, func() { l.abort(errSuperseded) })
	}
}

// begin makes a handshake the newest of its peer and reports false when the
// node is closed. It holds n.mu.
func (n *Node) begin(peer core.HostID, h *handshake) bool {
	if n.closed {
		return false
	}
	n.cancelPending(peer)
	n.pending[peer] = h
	return true
}

func (n *Node) cancelPending(peer core.HostID) {
	if h := n.pending[peer]; h != nil {
		h.cancel()
		delete(n.pending, peer)
	}
}

// adopt makes l the connection of its peer, in place of the one before, and
// starts it. It reports false when the handshake is not the newest any more.
//
// It guards against a late Start: an entry that lost a connection resumes on a
// new one and may be told NotStarted, while a Start still sits unread in the
// buffers of the old connection. Read later, it would run a request that was
// promised not to run. The old connection leaves links in the step that posts
// the new PeerUp, and receive checks links under the same lock. A handshake
// that finished late can't displace a newer one, because the dialler began the
// newer one only after the older had ended for it, and begin runs before the
// answer that ends it.
func (n *Node) adopt(h *handshake, l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pending[l.peer] != h {
		return false
	}
	delete(n.pending, l.peer)
	if old := n.remove(l.peer); old != nil {
		n.opts.Log.Info("connection replaced", "peer", l.peer)
		old.abort(errSuperseded)
	}
	n.links[l.peer] = l
	n.open.Add(1)
	n.opts.Metrics.Connections(1)
	n.opts.Log.Info("connection up", "peer", l.peer, "incarnation", uint64(l.incarnation))
	n.post(core.PeerUp{Peer: l.peer, Incarnation: l.incarnation})
	n.tasks.Go(l.readAll)
	l.schedulePing()
	return true
}

// remove takes the peer's connection out of links. It holds n.mu.
func (n *Node) remove(peer core.HostID) *link {
	l := n.links[peer]
	if l == nil {
		return nil
	}
	delete(n.links, peer)
	n.open.Add(-1)
	n.opts.Metrics.Connections(-1)
	return l
}

// abandon ends a handshake that failed. A failed dial also ends the connection
// that it was to replace, so that PeerDown always means that none is left.
func (n *Node) abandon(peer core.HostID, h *handshake) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pending[peer] != h {
		return
	}
	delete(n.pending, peer)
	if h.address == "" {
		return
	}
	if old := n.remove(peer); old != nil {
		old.abort(errSuperseded)
	}
	n.post(core.PeerDown{Peer: peer})
}

// receive posts messages in order. It drops them when the connection was
// replaced, hung up or closed meanwhile.
func (n *Node) receive(l *link, batch []core.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links[l.peer] != l || n.closed {
		return
	}
	for _, message := range batch {
		n.post(core.Received{From: l.peer, Message: message})
	}
}

// lost posts PeerDown if l still is the connection of its peer. While a dial
// is under way the dial's end says whether a connection is left: the peer
// closes the old connection as soon as it has the new one, and a PeerDown in
// between would make the reducer dial once more.
func (n *Node) lost(l *link, cause error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links[l.peer] != l {
		return
	}
	n.remove(l.peer)
	n.opts.Log.Info("connection down", "peer", l.peer, "cause", cause)
	if h := n.pending[l.peer]; n.closed || h != nil && h.address != "" {
		return
	}
	planned := websocket.CloseStatus(cause) == websocket.StatusServiceRestart
	n.post(core.PeerDown{Peer: l.peer, Planned: planned})
}

// Close ends the node in a planned stop: it accepts and dials no more, posts
// nothing more, writes out what is queued, closes with code 1012 (service
// restart) and waits for all goroutines. When the context ends first, the
// remaining connections are cut and the context's error is returned.
func (n *Node) Close(ctx context.Context) error {
	n.mu.Lock()
	n.closed = true
	for peer := range n.pending {
		n.cancelPending(peer)
	}
	links := make([]*link, 0, len(n.links))
	for _, l := range n.links {
		links = append(links, l)
		l.shut(websocket.StatusServiceRestart, "service restart")
	}
	n.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		for _, l := range links {
			l.abort(ctx.Err())
		}
	})
	defer stop()
	n.tasks.Wait()
	return ctx.Err()
}

// PeerState is the dump of one peer.
type PeerState struct {
	Up          bool             `json:"up"`
	Incarnation core.Incarnation `json:"incarnation,omitempty"`
	QueuedBytes int              `json:"queuedBytes,omitempty"`
	Handshake   bool             `json:"handshake,omitempty"`
}

// Dump returns the state of each peer.
func (n *Node) Dump() map[core.HostID]PeerState {
	n.mu.Lock()
	defer n.mu.Unlock()
	dump := map[core.HostID]PeerState{}
	for peer := range n.pending {
		dump[peer] = PeerState{Handshake: true}
	}
	for peer, l := range n.links {
		dump[peer] = PeerState{
			Up:          true,
			Incarnation: l.incarnation,
			QueuedBytes: l.queuedBytes(),
			Handshake:   n.pending[peer] != nil,
		}
	}
	return dump
}
