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
	// heartbeat is the time between two writes of a registry entry; one that is
	// missing for lapseAfter of them is removed.
	heartbeat  = 200 * time.Millisecond
	lapseAfter = 3
	// leaveTime is how long a server that said it leaves goes on serving: the
	// routers' drain bound, and a margin for slow machines.
	leaveTime = 3 * time.Second
	// plainWork is the time of a request at a plain service.
	plainWork = 10 * time.Millisecond
)

// misdeed is what a backend server does wrong.
type misdeed int

const (
	works misdeed = iota
	// fails answers 500 after the run.
	fails
	// losesAnswers resets the connection after the run.
	losesAnswers
	// answersTwice sends a further answer, to nobody, after each.
	answersTwice
	misdeeds
)

// backend is a stand-in of a backend server: it registers itself, runs requests
// and tells the referee. It lives through many instances.
type backend struct {
	name, service, zone string
	// listen is where it serves, address what the registry says: a relay.
	listen, address string
	store           *store
	referee         *referee
	// engine is nil at plain services.
	engine *engine

	// turn is held by the fault that ends and starts the server.
	turn sync.Mutex

	mu       sync.Mutex
	instance string
	draining bool
	// left is set once the entry is withdrawn, while the server still serves.
	left    bool
	misdeed misdeed
	// limit is what it names in its answers as the requests a second that it takes.
	limit  string
	server *http.Server
	life   int
	tasks  sync.WaitGroup
}

// start begins a new instance.
func (b *backend) start() error {
	l, err := b.bind()
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.life++
	b.instance, b.draining, b.left, b.limit = fmt.Sprintf("%s-%d", b.name, b.life), false, false, ""
	if b.engine != nil {
		b.engine.restart()
	}
	server, instance := &http.Server{Handler: b}, b.instance
	b.server = server
	b.tasks.Go(func() { _ = server.Serve(l) }) // ends when the server is closed
	b.tasks.Go(func() { b.register(instance) })
	return nil
}

// bind listens, trying again for a while: a process that is just being started
// holds a copy of the last instance's listener until its exec, for seconds on a
// busy machine.
func (b *backend) bind() (net.Listener, error) {
	limit := time.Now().Add(hangGuard)
	for {
		l, err := net.Listen("tcp", b.listen)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(limit) {
			return l, err
		}
		time.Sleep(heartbeat / 10)
	}
}

// crash ends the instance without a word. Its entry lapses later.
func (b *backend) crash() {
	b.mu.Lock()
	server, instance := b.server, b.instance
	b.instance, b.server = "", nil
	b.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	time.AfterFunc(lapseAfter*heartbeat, func() { b.store.remove("servers/" + instance) })
}

// leave announces the instance's end, serves on for a while and ends.
func (b *backend) leave() {
	b.mu.Lock()
	b.draining = true
	instance := b.instance
	b.mu.Unlock()
	if instance == "" {
		return
	}
	b.write(instance)
	time.Sleep(leaveTime)
	b.mu.Lock()
	b.left = true
	b.store.remove("servers/" + instance)
	b.mu.Unlock()
	time.Sleep(leaveTime)
	b.crash()
}

// finish serves what has arrived, and then nothing more.
func (b *backend) finish() {
	b.mu.Lock()
	server := b.server
	b.mu.Unlock()
	if server == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), hangGuard)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		b.referee.breaks("%s still served long after its callers had left: %v", b.name, err)
	}
}

func (b *backend) stop() {
	b.crash()
	b.tasks.Wait()
}

// register writes the registry entry while the instance lives.
func (b *backend) register(instance string) {
	for b.write(instance) {
		time.Sleep(heartbeat)
	}
}

type registryEntry struct {
	Service string      `json:"service"`
	Address string      `json:"address"`
	Zone    string      `json:"zone"`
	Slots   int         `json:"slots"`
	State   string      `json:"state"`
	Models  []heldModel `json:"models"`
	Seq     int         `json:"seq"`
}

// write reports false once the instance has ended or left.
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
		entry.Models = b.engine.held()
	}
	b.store.put("servers/"+instance, entry)
	return true
}

func (b *backend) do(m misdeed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.misdeed = m
}

// registered is the instance that writes the registry entry, "" if none does.
func (b *backend) registered() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left {
		return ""
	}
	return b.instance
}

func (b *backend) state() (instance string, m misdeed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instance, b.misdeed
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	instance, misdeed := b.state()
	id := r.Header.Get("Nutmeglane-Request-Id")
	w.Header().Set("Nutmeglane-Request-Id", id)
	w.Header().Set("Nutmeglane-Instance-Id", instance)
	if id == "" && b.engine == nil {
		refuseRun(w, http.StatusBadRequest)
		return
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
	b.referee.arrived(instance, id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request did not arrive whole
	}
	b.referee.ran(instance, id, asked{
		method: r.Method, path: r.RequestURI, body: string(body), model: r.Header.Get("Nutmeglane-Model"),
		account: strings.Join(r.Header.Values("Nutmeglane-Tenant"), ","), shown: r.Header.Get("Authorization"),
	})
	if string(body) == poisonBody {
		b.crashAndReturn()
		<-r.Context().Done()
		return
	}
	w.Header().Set("Nutmeglane-Server-Seal", "seal-"+id)
	if b.engine != nil {
		b.engine.stream(w, r, id, misdeed)
		return
	}
	time.Sleep(plainWork)
	b.answer(w, id, misdeed)
}

func refuseRun(w http.ResponseWriter, status int) {
	w.Header().Set("Nutmeglane-Not-Executed", "1")
	w.WriteHeader(status)
}

// answer answers a request of a plain service.
func (b *backend) answer(w http.ResponseWriter, id string, m misdeed) {
	if m != works && rand.IntN(2) == 0 {
		m = works // half of the requests are spared
	}
	switch m {
	case fails:
		w.WriteHeader(http.StatusInternalServerError)
	case losesAnswers:
		panic(http.ErrAbortHandler)
	case answersTwice:
		b.answerTwice(w, id)
	default:
		_, _ = io.WriteString(w, plainBody(id))
	}
}

// plainBody is the answer of a plain service to a request.
func plainBody(id string) string { return "record of " + id }

// answerTwice sends the answer, and one to a request of long ago where the next
// answer is due.
func (b *backend) answerTwice(w http.ResponseWriter, id string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // every connection of an HTTP/1.1 server can be taken over
	}
	defer func() { _ = conn.Close() }()
	for _, to := range []string{id, "stray-" + id} {
		writeAnswer(buffer.Writer, to)
	}
	_ = buffer.Flush() // a caller that left reads nothing
	time.Sleep(plainWork)
}

func writeAnswer(w *bufio.Writer, id string) {
	body := plainBody(id)
	_, _ = w.WriteString("HTTP/1.1 200 OK\r\nNutmeglane-Request-Id: " + id +
		"\r\nNutmeglane-Server-Seal: seal-" + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}
