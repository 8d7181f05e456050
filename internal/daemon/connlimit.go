package daemon

import (
	"log/slog"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"nutmeglane.example/nutmeglane/internal/body"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/telemetry"
)

const (
	// connBytes is the memory that a caller's connection takes at most, without bodies: buffers,
	// stacks, the head of a request and what the kernel has received. connMemoryShare is the part of
	// a process's memory for all of them.
	connBytes       = 40 << 10
	connMemoryShare = 0.25
	// defaultConns is the largest number of connections if the process's memory is not known.
	defaultConns = 4096
	// ownDescriptors is the number of descriptors for files. Callers get callersShare of the others.
	ownDescriptors = 200
	callersShare   = 0.5
)

// maxCallerConns returns the largest number of callers' connections of a process with a memory in MB
// and a number of descriptors, each 0 if unknown.
func maxCallerConns(memoryMB, descriptors float64) int {
	conns := defaultConns
	if memoryMB > 0 {
		conns = int(memoryMB * connMemoryShare * (1 << 20) / connBytes)
	}
	if descriptors == 0 {
		descriptors = descriptorLimit()
	}
	free := max(descriptors-ownDescriptors, descriptors/2)
	return max(1, min(conns, int(callersShare*free)))
}

// descriptorLimit returns the operating system's limit for the process.
func descriptorLimit() float64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultConns + ownDescriptors
	}
	return float64(limit.Cur)
}

// newConnLimit returns a limit whose decisions are counted and logged.
func newConnLimit(conns int, bodies *body.Memory, metrics *telemetry.Metrics, log *slog.Logger) *connLimit {
	report := func(name core.Counter, message string) func(int) {
		return func(n int) {
			metrics.Do(core.Count{Name: name, Add: float64(n)})
			log.Info(message, "connections", n, "limit", conns)
		}
	}
	return &connLimit{
		max: conns, dropSlow: bodies.DropSlow,
		evicted: report(countConnsEvicted, "callers' connections without a request closed for a new one"),
		refused: report(countConnsRefused, "caller's connection closed unread, all others have requests"),
	}
}

// connLimit bounds the connections of callers, so that those to backend servers, loaders and the
// store find descriptors and the machine's memory lasts.
//
// At the limit the connections without a request are closed that have been so for longest, also
// those on which the head of a request has begun: clients that open connections and send nothing
// can't keep out others. If all have requests, those leave whose bodies come too slowly. Any other
// connection whose request is being served is never closed.
type connLimit struct {
	// max is the largest number of connections.
	max int
	// dropSlow stops requests whose bodies come too slowly, at most the given number, and returns how
	// many. Their connections are closed after a refusal.
	dropSlow func(most int) (dropped int)
	// evicted and refused count connections that were closed for the sake of others, and those that
	// were closed unread because all others were in use.
	evicted, refused func(conns int)
}

// evictShare is the part of all connections that is closed at once, so that the search for them is
// seldom.
const evictShare = 1.0 / 16

// makeRoom reports whether a connection that is already counted may stay.
func (l *connLimit) makeRoom(c *callerConns) bool {
	if l == nil || c.count() <= l.max {
		return true
	}
	some := max(1, int(float64(l.max)*evictShare))
	closed := c.evict(some)
	if closed == 0 {
		closed = l.dropSlow(some)
	}
	// Connections whose requests were stopped close after a refusal and are counted until then.
	if closed == 0 || c.count() > l.max+some {
		l.refused(1)
		return false
	}
	l.evicted(closed)
	return true
}

func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// evict closes connections without a request, those first that have been so for longest, and returns
// how many. The one that was opened last stays.
func (c *callerConns) evict(conns int) (closed int) {
	for _, candidate := range c.withoutRequest(conns) {
		if candidate.closeForOthers() {
			closed++
		}
	}
	return closed
}

// withoutRequest returns the connections that have been without a request for longest, at most the
// given number, without the newest of all.
func (c *callerConns) withoutRequest(most int) []*callerConn {
	type candidate struct {
		conn  *callerConn
		since time.Time
	}
	var all []candidate
	for _, conn := range c.conns() {
		if since, free := conn.freeSince(); free {
			all = append(all, candidate{conn, since})
		}
	}
	slices.SortFunc(all, func(x, y candidate) int { return x.since.Compare(y.since) })
	most = min(most, len(all)-1)
	oldest := make([]*callerConn, 0, max(0, most))
	for i := range most {
		oldest = append(oldest, all[i].conn)
	}
	return oldest
}

// freeSince returns since when the connection has had no request, false if it has one.
func (c *callerConn) freeSince() (since time.Time, free bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, !c.serving
}

// closeForOthers closes the connection unless a request is being served on it, or has just come on an
// idle one. It reports whether it did.
func (c *callerConn) closeForOthers() bool {
	return c.closeIf(func() bool { return !c.serving && !(c.idle && c.hasUnreadData()) })
}

// beginServing records that a request is being served. It reports false if the connection is being
// closed: the request must not be passed on then, as nobody would get its answer.
func (c *callerConn) beginServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = !c.closing
	return c.serving
}

// serveOpenConns returns a handler that serves the requests on connections that were not closed.
func serveOpenConns(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(callerConnKey{}).(*callerConn)
		if ok && conn != nil && !conn.beginServing() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}
