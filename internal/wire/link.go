package wire

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Causes of closing a connection.
var (
	errStuck    = errors.New("wire: peer does not read, queue is full")
	errSilent   = errors.New("wire: pings are not answered")
	errTooLarge = errors.New("wire: message exceeds MaxMessage")
	errEnded    = errors.New("wire: connection ended")
)

// link is one established connection. While it is not aborted its reader runs,
// so that Node.tasks is above zero and may be added to during Close.
type link struct {
	node        *Node
	peer        core.HostID
	incarnation core.Incarnation
	conn        *websocket.Conn
	// tcp lies below conn. Closing it ends all reads and writes at once.
	tcp *meteredConn
	// dialled is set at the end that dialled.
	dialled bool

	mu      sync.Mutex
	queue   queue
	writing bool
	// shutting is set once the link is to be closed behind its queue, closing
	// while the closing handshake runs.
	shutting  *websocket.CloseError
	closing   bool
	aborted   bool
	cause     error
	pingTimer *time.Timer
	// readsSeen are the reads of tcp as of the last look for silence.
	readsSeen int64
}

func newLink(n *Node, peer core.HostID, incarnation core.Incarnation, conn *websocket.Conn, tcp *meteredConn) *link {
	conn.SetReadLimit(int64(n.opts.MaxMessage + maxBatch))
	return &link{node: n, peer: peer, incarnation: incarnation, conn: conn, tcp: tcp}
}

// abort ends the connection without a closing handshake. It never blocks; the
// reader notices and reports the loss with the first cause given.
func (l *link) abort(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abortLocked(cause)
}

func (l *link) abortLocked(cause error) {
	if l.aborted {
		return
	}
	l.aborted, l.cause = true, cause
	l.queue = queue{}
	if l.pingTimer != nil {
		l.pingTimer.Stop()
	}
	_ = l.tcp.Close()
}

// discard frees what a link holds that is not in use any more.
func (l *link) discard() {
	l.abort(errEnded)
	_ = l.conn.CloseNow()
}

// enqueue adds an encoded message and makes sure that a writer runs.
//
// It guards against a peer that stopped reading: the queue would grow until
// the process is out of memory. The queue's bound ends the connection, and
// PeerDown follows. A peer that reads, however slowly, stays far below the
// bound, because Credit limits the frames under way on each stream. Skipping
// messages instead would break the promised order.
func (l *link) enqueue(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aborted || l.shutting != nil {
		return
	}
	if len(data) > l.node.opts.MaxMessage {
		l.abortLocked(errTooLarge)
		return
	}
	if l.queue.bytes+len(data) > l.node.opts.MaxQueue {
		l.node.opts.Metrics.StuckPeer()
		l.abortLocked(errStuck)
		return
	}
	l.queue.push(data)
	l.startWriter()
}

// startWriter holds l.mu.
func (l *link) startWriter() {
	if !l.writing {
		l.writing = true
		l.node.tasks.Go(l.writeAll)
	}
}

func (l *link) queuedBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.bytes
}

var batchBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer keeps the buffers of rare large messages out of the pool.
const maxPooledBuffer = 2 * maxBatch

func releaseBuffer(buf *bytes.Buffer) {
	if buf.Cap() <= maxPooledBuffer {
		batchBuffers.Put(buf)
	}
}

// writeAll writes batches until the queue is empty, then closes the connection
// if it is to be shut.
func (l *link) writeAll() {
	buf := batchBuffers.Get().(*bytes.Buffer)
	defer releaseBuffer(buf)
	for {
		batch, shutting := l.nextBatch(buf)
		switch {
		case len(batch) > 0:
			if err := l.conn.Write(context.Background(), websocket.MessageBinary, batch); err != nil {
				l.abort(err)
			}
		case shutting != nil:
			l.closeConn(shutting.Code, shutting.Reason)
			return
		default:
			return
		}
	}
}

// nextBatch returns an empty batch when the writer has to end.
func (l *link) nextBatch(buf *bytes.Buffer) ([]byte, *websocket.CloseError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	buf.Reset()
	batch := l.queue.takeBatch(buf.AvailableBuffer())
	if len(batch) == 0 {
		l.writing = l.shutting != nil
		return nil, l.shutting
	}
	// Write does not copy here; it keeps a buffer that had to grow.
	if cap(batch) > buf.Cap() {
		*buf = *bytes.NewBuffer(batch[:0])
	}
	return batch, nil
}

// shut closes the connection, with a code, behind the messages queued so far.
// It returns at once.
func (l *link) shut(code websocket.StatusCode, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aborted || l.shutting != nil {
		return
	}
	l.shutting = &websocket.CloseError{Code: code, Reason: reason}
	l.startWriter()
}

// closeConn does the closing handshake, at most for closeTimeout.
func (l *link) closeConn(code websocket.StatusCode, reason string) {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	timer := time.AfterFunc(closeTimeout, func() { l.abort(errEnded) })
	defer timer.Stop()
	_ = l.conn.Close(code, reason)
}

// readAll reads batches until the connection ends.
func (l *link) readAll() {
	err := l.readBatches()
	l.mu.Lock()
	err = errors.CombineErrors(l.cause, err)
	l.mu.Unlock()
	l.node.lost(l, err)
	if errors.Is(err, ErrBadMessage) {
		l.node.opts.Metrics.BadMessage()
		l.closeConn(websocket.StatusPolicyViolation, "message can't be decoded")
	}
	l.discard()
}

func (l *link) readBatches() error {
	for {
		batch, err := l.readBatch()
		if err != nil {
			return err
		}
		l.node.receive(l, batch)
	}
}

func (l *link) readBatch() ([]core.Message, error) {
	kind, reader, err := l.conn.Reader(context.Background())
	if err != nil {
		return nil, err
	}
	if kind != websocket.MessageBinary {
		return nil, errors.Wrap(ErrBadMessage, "text message")
	}
	// Taken after Reader returned, so that an idle connection holds none.
	buf := batchBuffers.Get().(*bytes.Buffer)
	defer releaseBuffer(buf)
	buf.Reset()
	if _, err := buf.ReadFrom(reader); err != nil {
		return nil, err
	}
	return decodeBatch(buf.Bytes())
}

func (l *link) schedulePing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.schedulePingLocked()
}

func (l *link) schedulePingLocked() {
	if !l.aborted && !l.closing {
		pause := l.node.opts.pingPause(int(l.node.open.Load()))
		l.pingTimer = time.AfterFunc(pause, l.startPing)
	}
}

// startPing pings, unless the peer does: the end that accepted the connection hears the
// other's pings, and pings itself only where they stop. Pinged by both ends, idle
// connections cost a process beside many peers twice as much.
func (l *link) startPing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.aborted || l.closing:
	case !l.dialled && l.heardLately():
		l.schedulePingLocked()
	default:
		l.node.tasks.Go(l.ping)
	}
}

// heardLately tells whether anything came since the last look. It holds l.mu.
func (l *link) heardLately() bool {
	reads := l.tcp.reads.Load()
	heard := reads != l.readsSeen
	l.readsSeen = reads
	return heard
}

// pingTimeout is how long a pong is waited for. An end that accepted the connection has
// heard nothing for an interval before it pings.
func (l *link) pingTimeout() time.Duration {
	intervals := unansweredIntervals
	if !l.dialled {
		intervals--
	}
	return time.Duration(intervals) * l.node.opts.PingInterval
}

// ping sends one ping and waits for its pong.
//
// It guards against a connection that went silent: something on the path lost
// track of it, TCP keeps it open at both ends, and requests on it would wait
// until their deadlines while new connections work. Only a pong counts as an
// answer, because with one direction lost the other may still bring data. A
// full queue can't hold a ping up, as it waits for the batch in progress only;
// a peer that does not even take that batch within the time-out is cut too.
func (l *link) ping() {
	ctx, cancel := context.WithTimeout(context.Background(), l.pingTimeout())
	defer cancel()
	if err := l.conn.Ping(ctx); err != nil {
		l.unanswered()
		return
	}
	l.schedulePing()
}

// unanswered leaves a closing handshake alone: it has its own time-out, and no
// ping can be sent after it began.
func (l *link) unanswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closing {
		l.abortLocked(errSilent)
	}
}
