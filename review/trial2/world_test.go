package trial2

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds and sizes of the deployment, those of the page of the Protokoll-Zentrale.
const (
	drainMs   = 2000 * time.Millisecond
	contactMs = 3000 * time.Millisecond
	// storeLoad and diskLoad are how long engines take to load a model.
	storeLoad = 6 * time.Second
	diskLoad  = 700 * time.Millisecond
	// modelMb is the size of each model.
	modelMb = 16000
)

// world is a small deployment: the project's own processes and stand-ins around them.
type world struct {
	rec    *record
	dir    string
	net    string
	store  *store
	away   bool
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc

	routers  []*process
	loaders  []*process
	replicas []*replica
	version  int
	graceS   float64
	results  []result
	// weightsMb is the memory of an engine; each model takes modelMb.
	weightsMb int
	// prepare sets up a replica before it starts.
	prepare func(n int, r *replica)
	calls   sync.WaitGroup
}

func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "trial2-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir, store: newStore(), graceS: 8, weightsMb: 80000}
	w.net = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), 1+rand.IntN(254))
	w.ctx, w.cancel = context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", w.net+"2:8142")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(listener) }()
	return w, nil
}

// close ends all processes that were started.
func (w *world) close() {
	w.cancel()
	for _, p := range append(append([]*process{}, w.routers...), w.loaders...) {
		p.kill()
	}
	for _, r := range w.replicas {
		r.exit()
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) storeAway() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.away
}

func (w *world) setAway(away bool) {
	w.mu.Lock()
	w.away = away
	w.mu.Unlock()
	w.store.setAway(away)
}

// expire removes the entry of a replica that is still silent after some time, as the platform does after
// three heartbeats.
func (w *world) expire(r *replica, after time.Duration) {
	time.AfterFunc(after, func() {
		if r.isSilent() && w.store.has(r.key()) {
			w.rec.log("platform: the entry of %s is removed, three heartbeats without a write", r.id)
			w.store.remove(r.key())
		}
	})
}

func (w *world) addReplica(service string, engine bool, work time.Duration) (*replica, error) {
	n := len(w.replicas)
	r := &replica{
		w: w, id: fmt.Sprintf("i-%04x%02d", rand.IntN(1<<16), n), service: service, engine: engine, work: work,
		ip: fmt.Sprintf("%s%d", w.net, 20+n), zone: "bern-a", state: "ready", models: map[string]bool{}, disk: map[string]bool{},
		version: "v1", events: 10, pause: 20 * time.Millisecond,
	}
	r.address = r.ip + ":8145"
	w.replicas = append(w.replicas, r)
	if engine {
		r.models["model-a"], r.disk["model-a"] = true, true
	}
	if w.prepare != nil {
		w.prepare(n, r)
	}
	return r, r.start()
}

// configure writes the next version of the configuration.
func (w *world) configure() time.Time {
	w.version++
	return w.writeConfig()
}

func (w *world) writeConfig() time.Time {
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeoutMs": 20000, "targetLatencyMs": 150, "priority": 0, "maxAttempts": attempts, "resumable": resumable, "gapAimMs": 400,
		}
	}
	model := func(name string) map[string]any {
		return map[string]any{
			"name": name, "weightsMb": modelMb, "loadS": storeLoad.Seconds(), "warmS": 0.5, "diskS": diskLoad.Seconds(), "adapters": 0, "adapterMb": 14,
		}
	}
	routes := []any{
		route("book", "unsafe", "records", 1, false),
		route("ask", "streaming", "writers", 1, false),
		route("draft", "streaming", "writers", 2, true),
	}
	if w.version > 1 {
		routes = append(routes, route("look", "safe", "records", 2, false))
	}
	config := map[string]any{
		"version": w.version,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"services": []any{
			map[string]any{"name": "records", "healthPath": "/health", "maxConns": 110},
			map[string]any{"name": "writers", "healthPath": "/health", "maxConns": 360, "engine": map[string]any{
				"slots": 64, "kvCapacityTokens": 100000, "weightsMb": w.weightsMb, "adapterSlots": 8, "loadsPerS": 5.2,
				"models": []any{model("model-a"), model("model-b"), model("model-c")},
			}},
		},
		"routes": routes,
	}
	return w.store.put("op/config", config)
}

// process is a process of the project.
type process struct {
	w        *world
	name, ip string
	command  []string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
}

// addProcess writes a process's settings from the template of the deploy file and starts it.
func (w *world) addProcess(role, name, ip, app string) (*process, error) {
	command, template, err := deployed(role)
	if err != nil {
		return nil, err
	}
	p := &process{w: w, name: name, ip: ip, settings: filepath.Join(w.dir, name+".jsonc")}
	if err := p.configure(template, app); err != nil {
		return nil, err
	}
	for _, word := range strings.Fields(command) {
		if strings.HasPrefix(word, "/etc/") {
			word = p.settings
		}
		p.command = append(p.command, word)
	}
	return p, p.start()
}

// configure writes the settings.
func (p *process) configure(template, app string) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	fields := map[string]any{
		"nodeName": p.name, "ip": p.ip, "zone": "bern-a", "app": app,
		"listen":        map[string]any{"front": p.ip + ":8149", "ready": p.ip + ":8141"},
		"internalPorts": []any{7380, 7395},
		"limits":        map[string]any{"cpuShare": 0.304, "memoryMb": 284},
		"platform":      map[string]any{"address": p.w.net + "2:8142"},
		"bounds": map[string]any{
			"drainMs": drainMs.Milliseconds(), "configMs": 2000, "graceS": p.w.graceS, "retryBudgetRatio": 0.2, "budgetSlack": 56,
			"budgetWindowS": 10, "ceilingWindowS": 5, "ceilingOver": 1.1,
		},
	}
	written := p.settings + ".new"
	if err := os.WriteFile(written, []byte(render(string(text), fields)), 0o600); err != nil {
		return err
	}
	return os.Rename(written, p.settings)
}

var (
	runLine      = regexp.MustCompile(`(?m)^run = "(.*)"$`)
	templateLine = regexp.MustCompile(`(?m)^template = "(.*)"$`)
	section      = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	placeholder  = regexp.MustCompile(`\{\{([a-zA-Z.0-9]+)(\|json)?\}\}`)
)

// deployed returns the command of a role and the path of its template, from the deploy file.
func deployed(role string) (command, template string, err error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", "", err
	}
	_, rest, found := strings.Cut(string(text), "[roles."+role+"]")
	if !found {
		return "", "", errors.New("the deploy file has no role " + role)
	}
	return runLine.FindStringSubmatch(rest)[1], templateLine.FindStringSubmatch(rest)[1], nil
}

// render fills in a template as DEPLOY.md says, as far as our templates need it.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		if lookup(fields, m[1]) == nil {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		value := lookup(fields, m[1])
		if m[2] != "" {
			data, _ := json.Marshal(value)
			return string(data)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

func lookup(fields any, path string) any {
	for _, name := range strings.Split(path, ".") {
		switch f := fields.(type) {
		case map[string]any:
			fields = f[name]
		case []any:
			var i int
			_, _ = fmt.Sscan(name, &i)
			fields = f[i]
		default:
			return nil
		}
	}
	return fields
}

func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "NUTMEGLANE_BOOT=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.w.rec.log("%s has ended: %v", p.name, err)
		close(ended)
	}()
	p.w.rec.log("%s started at %s", p.name, p.ip)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// ready reports whether a router says that it is ready.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.ip + ":8141/nutmeglane/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// saw copies the lines of a process's log that contain one of the words into the record.
func (p *process) saw(words ...string) {
	text, _ := os.ReadFile(filepath.Join(p.w.dir, p.name+".log"))
	for _, line := range bytes.Split(text, []byte("\n")) {
		for _, word := range words {
			if bytes.Contains(line, []byte(word)) {
				p.w.rec.write("log of " + p.name + ": " + string(line))
				break
			}
		}
	}
}

// deploy starts a deployment of routers, plain replicas, and engines with their loaders, and waits
// until it serves.
func (w *world) deploy(routers, plain, engines int, work time.Duration) error {
	w.configure()
	for i := range plain + engines {
		service := "records"
		if i >= plain {
			service = "writers"
		}
		r, err := w.addReplica(service, i >= plain, work)
		if err != nil {
			return err
		}
		r.beat()
		go r.beats(w.ctx)
		if r.engine {
			loader, err := w.addProcess("loader", "side-"+r.id, r.ip, r.address)
			if err != nil {
				return err
			}
			w.loaders = append(w.loaders, loader)
		}
	}
	for i := range routers {
		p, err := w.addProcess("router", fmt.Sprintf("front-%d", i+1), fmt.Sprintf("%s%d", w.net, 10+i), "")
		if err != nil {
			return err
		}
		w.routers = append(w.routers, p)
	}
	until := time.Now().Add(10 * time.Second)
	for _, p := range w.routers {
		for !p.ready() {
			if time.Now().After(until) {
				return errors.New(p.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// result is what a client got.
type result struct {
	id, route, model, prompt, router string
	sent, done                       time.Time
	status                           int
	body                             string
	err                              error
	// given is set if the request's body was given.
	given bool
}

// request is what a client asks for. The model and the shared parts of the prompt are those of a
// generation. The body is one of its own unless it is given, and so is the last part of the prompt.
type request struct{ route, model, prompt, body string }

// ask sends a request on a new connection and returns what came.
func (w *world) ask(p *process, deadline time.Duration, in request) result {
	id := newID()
	res := result{id: id, route: in.route, model: in.model, prompt: in.prompt, router: p.name, sent: time.Now(), given: in.body != ""}
	body, prompt := in.body, in.prompt
	if body == "" {
		body, prompt = "the note "+id, in.prompt+","+id+":200"
	}
	ctx, cancel := context.WithTimeout(w.ctx, deadline+time.Second)
	defer cancel()
	method := http.MethodPost
	if in.route == "look" {
		method, body = http.MethodGet, "" // all read the same
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+p.ip+":8149/"+in.route+"/x", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Host = "shop.example"
	q.Header.Set("Nutmeglane-Request-Id", id)
	q.Header.Set("Nutmeglane-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if in.model != "" {
		q.Header.Set("Nutmeglane-Model", in.model)
		q.Header.Set("Nutmeglane-Token-Count", "600,20")
		q.Header.Set("Nutmeglane-Prompt-Prefix", prompt)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(q)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		res.status, res.body = response.StatusCode, string(data)
	}
	res.err, res.done = err, time.Now()
	refusal := ""
	if res.status != http.StatusOK {
		refusal = strings.TrimSpace(res.body)
	}
	if err != nil {
		refusal = err.Error()
	}
	w.rec.detail("client: %s %s at %s, sent %s: %d %s", in.route, id, p.name, strings.TrimSpace(w.rec.at(res.sent)), res.status, refusal)
	w.mu.Lock()
	w.results = append(w.results, res)
	w.mu.Unlock()
	return res
}

// traffic sends requests to routers in turn, so many a second, until the context ends.
func (w *world) traffic(ctx context.Context, routers []*process, perSecond int, deadline time.Duration, in request) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p := routers[i%len(routers)]
			w.calls.Go(func() { w.ask(p, deadline, in) })
		}
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// byID returns the result of a request, nil if there is none.
func (w *world) byID(id string) *result {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.results {
		if w.results[i].id == id {
			return &w.results[i]
		}
	}
	return nil
}
