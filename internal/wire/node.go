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

// errSuperseded is the cause of closing a connection that was replaced or closed by
// a Hangup.
var errSuperseded = errors.New("wire: connection was replaced or hung up")

// Node holds the connections of one process, at most one per peer.
type Node struct {
	opts Options
	post func(core.Event)
	// upgrades is the token bucket that limits accepted connections.
	upgrades *rate.Limiter
	// tasks counts the goroutines that Close waits for.
	tasks sync.WaitGroup
	// linkCount is the number of links. It can be read without mu.
	linkCount atomic.Int64

	// mu guards the fields below and is held while events are posted, which
	// orders them: once a connection has been removed from links, none of its
	// events are posted.
	mu      sync.Mutex
	closed  bool
	links   map[core.HostID]*link
	pending map[core.HostID]*handshake
}

// handshake is a connection that is being established. Only the newest handshake
// with a peer may become its connection.
type handshake struct {
	// address is empty on the accepting side.
	address string
	cancel  context.CancelFunc
}

// New returns a node without connections. The node reports events through post,
// which must not block and must not call the node. The caller has to call Close.
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

// Do starts a Dial, Hangup or Send effect and reports whether the effect is one of
// these. It never waits for the network and does not call post itself.
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

// SendAll sends a message to peers, like a Send effect for each, but encodes it only
// once. For a process with 68 peers, encoding a message for each of them would take
// most of its time.
func (n *Node) SendAll(to []core.HostID, message core.Message) {
	links := n.linksTo(to)
	if len(links) == 0 {
		return
	}
	// The message is encoded here and not by the writer, because it may share slices
	// with the reducer's state, which may change once SendAll returns.
	data, err := core.EncodeMessage(message)
	for _, l := range links {
		if err != nil {
			l.abort(errors.Wrap(err, "message can't be encoded"))
			continue
		}
		l.enqueue(data)
	}
}

// linksTo returns the links to those of the peers that have one.
func (n *Node) linksTo(peers []core.HostID) []*link {
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
		l.closeAfterQueue(websocket.StatusNormalClosure, "hangup")
		time.AfterFunc(closeTimeout, func() { l.abort(errSuperseded) })
	}
}

// beginHandshake makes a handshake the newest of its peer. It returns false if the
// node is closed. The caller holds n.mu.
func (n *Node) beginHandshake(peer core.HostID, h *handshake) bool {
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

// finishHandshake makes l the connection of its peer, replaces the previous one and
// starts l. It returns false if the handshake is not the newest one any more.
//
// It guards against a late Start. An entry that lost a connection resumes on a new
// one and may receive NotStarted while a Start is still unread in the buffers of the
// old connection. If it were read later, a request would run that was reported as
// never to run. Therefore the old connection is removed from links under the lock
// under which the new PeerUp is posted, and receive checks links under the same
// lock. A handshake that finishes late can't replace a newer one, because the
// dialling end starts the newer one only after the older one has ended at that end,
// and beginHandshake runs before the response that ends it.
func (n *Node) finishHandshake(h *handshake, l *link) bool {
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
	n.linkCount.Add(1)
	n.opts.Metrics.Connections(1)
	n.opts.Log.Info("connection up", "peer", l.peer, "incarnation", uint64(l.incarnation))
	n.post(core.PeerUp{Peer: l.peer, Incarnation: l.incarnation})
	n.tasks.Go(l.readAll)
	l.schedulePing()
	return true
}

// remove removes the peer's connection from links and returns it, or nil if there
// is none. The caller holds n.mu.
func (n *Node) remove(peer core.HostID) *link {
	l := n.links[peer]
	if l == nil {
		return nil
	}
	delete(n.links, peer)
	n.linkCount.Add(-1)
	n.opts.Metrics.Connections(-1)
	return l
}

// failHandshake ends a handshake that failed. A failed dial also aborts the
// connection that it was to replace, so that PeerDown always means that there is no
// connection.
func (n *Node) failHandshake(peer core.HostID, h *handshake) {
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

// receive posts messages in order. It drops them if the connection was replaced or
// hung up or the node was closed since they were read.
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

// connectionLost posts PeerDown if l still is the connection of its peer. While a
// dial is in progress it posts nothing, because the result of the dial determines
// whether there is a connection: the peer closes the old connection as soon as it
// has the new one, and a PeerDown in between would make the reducer dial again.
func (n *Node) connectionLost(l *link, cause error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links[l.peer] != l {
		return
	}
	n.remove(l.peer)
	planned := websocket.CloseStatus(cause) == websocket.StatusServiceRestart
	n.opts.Log.Info("connection down", "peer", l.peer, "incarnation", uint64(l.incarnation), "planned", planned, "cause", cause)
	if h := n.pending[l.peer]; n.closed || h != nil && h.address != "" {
		return
	}
	n.post(core.PeerDown{Peer: l.peer, Planned: planned})
}

// Close shuts down the node for a planned stop. The node accepts and dials no more
// connections and posts no more events. Close writes the queued messages, closes
// the connections with code 1012 (service restart) and waits for all goroutines. If
// the context is done first, the remaining connections are aborted and the
// context's error is returned.
func (n *Node) Close(ctx context.Context) error {
	n.mu.Lock()
	n.closed = true
	for peer := range n.pending {
		n.cancelPending(peer)
	}
	links := make([]*link, 0, len(n.links))
	for _, l := range n.links {
		links = append(links, l)
		l.closeAfterQueue(websocket.StatusServiceRestart, "service restart")
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

// PeerState is the state of one peer in the operators' state dump.
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
