package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// heartbeat is the time between two writes of a registry entry. An entry is
	// removed after missedHeartbeats missing writes.
	heartbeat        = 200 * time.Millisecond
	missedHeartbeats = 3
	// drainTime is how long a server continues to serve after it has announced that
	// it leaves: the routers' drain bound plus a margin for slow machines.
	drainTime = 3 * time.Second
	// plainWork is the duration of a request at a plain service.
	plainWork = 10 * time.Millisecond
)

// serverFault is a fault of a backend server.
type serverFault int

const (
	noFault serverFault = iota
	// failsRun answers 500 after the run.
	failsRun
	// losesAnswers resets the connection after the run.
	losesAnswers
	// answersTwice sends an extra answer, which belongs to no request, after each answer.
	answersTwice
	// breaksOff breaks answers off at any place.
	breaksOff
	// failsOften answers 500 after four of five runs.
	failsOften
)

// backend is a stand-in for a backend server: it registers itself, runs requests
// and reports them to the checker. Each start creates a new instance.
type backend struct {
	name, service, zone string
	// listen is the address at which it serves; address is the registered one, that of
	// a relay.
	listen, address string
	store           *store
	checker         *checker
	// engine is nil at plain services.
	engine *engine

	// lifecycle is held by the fault that stops and restarts the server.
	lifecycle sync.Mutex

	mu       sync.Mutex
	instance string
	draining bool
	// left is set once the registry entry is removed while the server still serves.
	left  bool
	fault serverFault
	// limit is the limit announced in its answers, in requests per second.
	limit string
	// announcesDraining is set if its answers state that it is draining. backoff is what
	// it wants if requests are turned away, until backoffEnds.
	announcesDraining bool
	backoff           string
	backoffEnds       time.Time
	// standsUntil is until when its process does not run.
	standsUntil time.Time
	// severalReleases is set if each new instance draws its release.
	severalReleases bool

	server *http.Server
	life   int
	tasks  sync.WaitGroup
}

// start starts a new instance.
func (b *backend) start() error {
	l, err := b.bind()
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.life++
	b.instance, b.draining, b.left, b.limit = fmt.Sprintf("%s-%d", b.name, b.life), false, false, ""
	b.announcesDraining, b.backoffEnds = false, time.Time{}
	if b.engine != nil {
		b.engine.restart(b.drawRelease())
	}
	server, instance := &http.Server{Handler: b, ConnContext: withConn}, b.instance
	b.server = server
	b.tasks.Go(func() { _ = server.Serve(l) }) // ends when the server is closed
	b.tasks.Go(func() { b.register(instance) })
	return nil
}

// bind listens on the server's address and retries while it is in use. A process that
// is being started holds a copy of the previous instance's listener until its exec,
// which can take seconds on a busy machine.
func (b *backend) bind() (net.Listener, error) {
	limit := time.Now().Add(waitLimit)
	for {
		l, err := net.Listen("tcp", b.listen)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(limit) {
			return l, err
		}
		time.Sleep(heartbeat / 10)
	}
}

// crash stops the instance without notice. Its registry entry is removed later.
func (b *backend) crash() {
	b.mu.Lock()
	server, instance := b.server, b.instance
	b.instance, b.server = "", nil
	b.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	time.AfterFunc(missedHeartbeats*heartbeat, func() { b.store.remove("servers/" + instance) })
}

// leave announces that the instance leaves, serves for drainTime, removes the registry
// entry, serves for drainTime again and stops.
func (b *backend) leave() {
	b.mu.Lock()
	b.draining = true
	instance := b.instance
	b.mu.Unlock()
	if instance == "" {
		return
	}
	b.write(instance)
	time.Sleep(drainTime)
	b.mu.Lock()
	b.left = true
	b.store.remove("servers/" + instance)
	b.mu.Unlock()
	time.Sleep(drainTime)
	b.crash()
}

// finish serves the requests that have arrived and then stops serving.
func (b *backend) finish() {
	b.mu.Lock()
	server := b.server
	b.mu.Unlock()
	if server == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		b.checker.reportViolation("%s still served long after its callers had left: %v", b.name, err)
	}
}

func (b *backend) stop() {
	b.crash()
	b.tasks.Wait()
}

// register writes the registry entry periodically while the instance is alive.
func (b *backend) register(instance string) {
	for b.write(instance) {
		time.Sleep(heartbeat)
	}
}

type registryEntry struct {
	Service string      `json:"service"`
	Address string      `json:"address"`
	Zone    string      `json:"zone"`
	Version string      `json:"version"`
	Slots   int         `json:"slots"`
	State   string      `json:"state"`
	Models  []heldModel `json:"models"`
	Seq     int         `json:"seq"`
}

// write writes the registry entry. It reports false once the instance has stopped or
// removed its entry.
func (b *backend) write(instance string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.instance != instance || b.left {
		return false
	}
	entry := registryEntry{Service: b.service, Address: b.address, Zone: b.zone, Slots: slots, State: "ready"}
	if b.draining {
		entry.State = "draining"
	}
	if b.engine != nil {
		entry.Models, entry.Version = b.engine.held(), b.engine.softwareRelease()
	}
	b.store.put("servers/"+instance, entry)
	return true
}

func (b *backend) setFault(m serverFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = m
}

// registered returns the instance that writes the registry entry, or "" if none does.
func (b *backend) registered() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left {
		return ""
	}
	return b.instance
}

// state returns the instance and the fault of the next answer. Half of the answers that are lost
// break off at any place instead.
func (b *backend) state() (instance string, m serverFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.fault == losesAnswers && rand.IntN(2) == 0:
		return b.instance, breaksOff
	case b.fault == failsOften && rand.IntN(5) == 0:
		return b.instance, noFault
	case b.fault == failsOften:
		return b.instance, failsRun
	}
	return b.instance, b.fault
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.awaitProcess()
	instance, current := b.state()
	id := r.Header.Get("Nutmeglane-Request-Id")
	w.Header().Set("Nutmeglane-Request-Id", id)
	w.Header().Set("Nutmeglane-Instance-Id", instance)
	b.announceDraining(w.Header())
	if id == "" && b.engine == nil {
		refuseRun(w, http.StatusBadRequest)
		return
	}
	if id != "" {
		b.checker.arrivedAt(b.service, id)
	}
	if expected := r.Header.Get("Nutmeglane-Expect-Instance"); expected != "" && expected != instance {
		refuseRun(w, http.StatusMisdirectedRequest)
		return
	}
	if b.engine != nil && b.engine.serve(w, r) {
		return
	}
	if limit := b.limitText(); limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	b.checker.arrived(instance, id)
	if b.turnAway(w, instance, id) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request did not arrive completely
	}
	runs := b.startRun(w, r, instance, id, sentRequest{
		method: r.Method, path: r.RequestURI, body: string(body), model: r.Header.Get("Nutmeglane-Model"),
		account: strings.Join(r.Header.Values("Nutmeglane-Tenant"), ","), shown: r.Header.Get("Authorization"),
	})
	if !runs {
		return
	}
	if string(body) == poisonBody {
		b.crashAndReturn()
		<-r.Context().Done()
		return
	}
	w.Header().Set("Nutmeglane-Server-Seal", "seal-"+id)
	if b.engine != nil && holdsHarmfulPart(r.Header) {
		b.beginAndCrash(w, r)
		return
	}
	if b.engine != nil {
		b.engine.stream(w, r, id, current)
		return
	}
	time.Sleep(plainWork)
	b.answer(w, r, id, current)
}

func refuseRun(w http.ResponseWriter, status int) {
	w.Header().Set("Nutmeglane-Not-Executed", "1")
	w.WriteHeader(status)
}

// answer answers a request of a plain service.
func (b *backend) answer(w http.ResponseWriter, r *http.Request, id string, m serverFault) {
	if m != noFault && rand.IntN(2) == 0 {
		m = noFault // half of the requests are not affected
	}
	switch m {
	case failsRun:
		w.WriteHeader(http.StatusInternalServerError)
	case losesAnswers:
		panic(http.ErrAbortHandler)
	case answersTwice:
		b.answerTwice(w, id)
	default:
		b.reply(id, m).send(w, r)
	}
}

// reply returns the answer of a plain service.
func (b *backend) reply(id string, m serverFault) reply {
	p := reply{
		pieces: []string{plainBody(id)}, framing: framing(rand.IntN(int(framings))),
		completes: func() { b.checker.answerCompleted(id) },
	}
	if m == breaksOff {
		p.cut = drawCut(p)
		b.checker.answerCut()
	}
	return p
}

// plainBody returns the answer of a plain service to a request.
func plainBody(id string) string { return "record of " + id }

// answerTwice sends the answer and then, in the place of the next answer on the
// connection, an answer to another request.
func (b *backend) answerTwice(w http.ResponseWriter, id string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // every connection of an HTTP/1.1 server can be hijacked
	}
	defer func() { _ = conn.Close() }()
	b.checker.answerCompleted(id)
	for _, to := range []string{id, "stray-" + id} {
		writeAnswer(buffer.Writer, to)
	}
	_ = buffer.Flush() // fails only if the caller has disconnected
	time.Sleep(plainWork)
}

func writeAnswer(w *bufio.Writer, id string) {
	body := plainBody(id)
	_, _ = w.WriteString("HTTP/1.1 200 OK\r\nNutmeglane-Request-Id: " + id +
		"\r\nNutmeglane-Server-Seal: seal-" + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}
