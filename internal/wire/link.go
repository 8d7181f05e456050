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
	errStuck      = errors.New("wire: peer does not read, queue is full")
	errUnanswered = errors.New("wire: pings are not answered")
	errTooLarge   = errors.New("wire: message exceeds MaxMessage")
	errClosed     = errors.New("wire: connection ended")
)

// link is one established connection. Its reader runs until the link is aborted, so
// that Node.tasks is above zero and goroutines can be added during Close.
type link struct {
	node        *Node
	peer        core.HostID
	incarnation core.Incarnation
	conn        *websocket.Conn
	// tcp is the connection below conn. Closing it ends all reads and writes
	// immediately.
	tcp *meteredConn
	// dialled is set if this process dialled.
	dialled bool

	mu      sync.Mutex
	queue   queue
	writing bool
	// closeRequest is set once the link is to be closed after its queue is written;
	// closing is set when the closing handshake starts.
	closeRequest *websocket.CloseError
	closing      bool
	aborted      bool
	cause        error
	pingTimer    *time.Timer
	// checkedReads is the number of reads of tcp at the last check for received
	// data.
	checkedReads int64
}

func newLink(n *Node, peer core.HostID, incarnation core.Incarnation, conn *websocket.Conn, tcp *meteredConn) *link {
	conn.SetReadLimit(int64(n.opts.MaxMessage + maxBatch))
	return &link{node: n, peer: peer, incarnation: incarnation, conn: conn, tcp: tcp}
}

// abort closes the connection without a closing handshake. It never blocks. The
// reader then fails and reports the loss with the cause of the first abort.
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

// discard closes a link that is not in use and releases its resources.
func (l *link) discard() {
	l.abort(errClosed)
	_ = l.conn.CloseNow()
}

// enqueue adds an encoded message to the queue and ensures that a writer runs.
//
// If the queue would exceed its bound, enqueue aborts the connection, and PeerDown
// follows. Otherwise the queue for a peer that stopped reading would grow until the
// process is out of memory. The queue for a peer that reads, even slowly, stays far
// below the bound, because Credit limits the frames in flight on each stream.
// Dropping messages instead would violate the order guarantee.
func (l *link) enqueue(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aborted || l.closeRequest != nil {
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

// startWriter starts a writer unless one runs. The caller holds l.mu.
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

// maxPooledBuffer is the capacity in bytes above which a buffer is not returned to
// the pool. It keeps the buffers of rare large messages out of it.
const maxPooledBuffer = 2 * maxBatch

func releaseBuffer(buf *bytes.Buffer) {
	if buf.Cap() <= maxPooledBuffer {
		batchBuffers.Put(buf)
	}
}

// writeAll writes batches until the queue is empty, then closes the connection if
// closeRequest is set.
func (l *link) writeAll() {
	buf := batchBuffers.Get().(*bytes.Buffer)
	defer releaseBuffer(buf)
	for {
		batch, request := l.nextBatch(buf)
		switch {
		case len(batch) > 0:
			if err := l.conn.Write(context.Background(), websocket.MessageBinary, batch); err != nil {
				l.abort(err)
			}
		case request != nil:
			l.closeConn(request.Code, request.Reason)
			return
		default:
			return
		}
	}
}

// nextBatch returns the next batch. If the queue is empty, it returns an empty batch
// and closeRequest, and the writer has to end.
func (l *link) nextBatch(buf *bytes.Buffer) ([]byte, *websocket.CloseError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	buf.Reset()
	batch := l.queue.takeBatch(buf.AvailableBuffer())
	if len(batch) == 0 {
		l.writing = l.closeRequest != nil
		return nil, l.closeRequest
	}
	// If the batch needed a larger buffer, keep that one. Write does not copy.
	if cap(batch) > buf.Cap() {
		*buf = *bytes.NewBuffer(batch[:0])
	}
	return batch, nil
}

// closeAfterQueue requests that the connection be closed with a code after the
// messages queued so far are written. It does not block.
func (l *link) closeAfterQueue(code websocket.StatusCode, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aborted || l.closeRequest != nil {
		return
	}
	l.closeRequest = &websocket.CloseError{Code: code, Reason: reason}
	l.startWriter()
}

// closeConn performs the closing handshake within closeTimeout.
func (l *link) closeConn(code websocket.StatusCode, reason string) {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	timer := time.AfterFunc(closeTimeout, func() { l.abort(errClosed) })
	defer timer.Stop()
	_ = l.conn.Close(code, reason)
}

// readAll reads batches until the connection ends.
func (l *link) readAll() {
	err := l.readBatches()
	l.mu.Lock()
	err = errors.CombineErrors(l.cause, err)
	l.mu.Unlock()
	l.node.connectionLost(l, err)
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
	// The buffer is taken after Reader has returned, so that an idle connection
	// holds none.
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
		pause := l.node.opts.pingDelay(int(l.node.linkCount.Load()))
		l.pingTimer = time.AfterFunc(pause, l.startPing)
	}
}

// startPing starts a ping, except at the accepting end while data arrives: that end
// receives the dialling end's pings and sends its own only when they stop. With pings
// from both ends, idle connections would cost a process with many peers twice as much.
func (l *link) startPing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.aborted || l.closing:
	case !l.dialled && l.readSinceLastCheck():
		l.schedulePingLocked()
	default:
		l.node.tasks.Go(l.ping)
	}
}

// readSinceLastCheck reports whether any data was received since the last call. The
// caller holds l.mu.
func (l *link) readSinceLastCheck() bool {
	reads := l.tcp.reads.Load()
	received := reads != l.checkedReads
	l.checkedReads = reads
	return received
}

// pingTimeout is how long ping waits for the pong. It is one interval shorter at the
// accepting end, which pings only after an interval without data.
func (l *link) pingTimeout() time.Duration {
	intervals := maxUnansweredIntervals
	if !l.dialled {
		intervals--
	}
	return time.Duration(intervals) * l.node.opts.PingInterval
}

// ping sends one ping and waits for its pong.
//
// It detects a connection that is lost without an error: a device on the path drops
// its state, TCP keeps the connection open at both ends, and requests on it would
// wait until their deadlines although new connections work. Only a pong counts as an
// answer, because data may still arrive if only one direction is lost. A full queue
// does not delay a ping, which waits only for the batch in progress. The connection
// of a peer that does not read that batch within the timeout is aborted too.
func (l *link) ping() {
	ctx, cancel := context.WithTimeout(context.Background(), l.pingTimeout())
	defer cancel()
	if err := l.conn.Ping(ctx); err != nil {
		l.pingFailed()
		return
	}
	l.schedulePing()
}

// pingFailed aborts the connection unless the closing handshake has started. The
// handshake has its own timeout, and no ping can be sent after it has started.
func (l *link) pingFailed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closing {
		l.abortLocked(errUnanswered)
	}
}
