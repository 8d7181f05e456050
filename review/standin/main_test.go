// Package standin plays the cases of the review: it starts the project's programs as
// processes, with stand-ins of the platform's store, backend servers and clients around them.
package standin

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// TestMain plays the case that the arguments name. review/build.sh builds the test binary; there are
// no Go tests in it.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE DIRECTORY")
		os.Exit(exitFailed)
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	cases := map[string]func(*world) (broken bool, err error){
		"truncated": truncatedStream, "latecomer": lateOrder, "removal": removedService,
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitFailed)
	}
	broken, err := play(w)
	code := exitHeld
	switch {
	case err != nil:
		w.note("case could not run: %v", err)
		code = exitFailed
	case broken:
		code = exitBroken
	}
	w.note("exit code %d", code)
	w.close()
	os.Exit(code)
}

// world is one run of a case.
type world struct {
	// trouble is false for the run without the disruption.
	trouble bool
	temp    string
	target  string
	begun   time.Time
	network string

	mu     sync.Mutex
	record *os.File

	processes []*process
}

func newWorld(dir string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{
		trouble: trouble, temp: temp, target: filepath.Dir(self), begun: time.Now(), record: record,
		network: fmt.Sprintf("127.%d.%d.", 64+pid>>8&63, pid&255),
	}
	w.note("trouble: %t", trouble)
	return w, nil
}

// ip returns the loopback address of one of the simulated hosts.
func (w *world) ip(host int) string { return w.network + strconv.Itoa(host) }

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(w.begun).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(w.record, line)
	fmt.Println(line)
}

func (w *world) close() {
	for _, p := range w.processes {
		p.end()
	}
	_ = os.RemoveAll(w.temp)
	_ = w.record.Close()
}

// freePort returns a port that is free on all of the given hosts.
func freePort(ips ...string) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for _, ip := range ips {
			other, err := net.Listen("tcp", ip+":"+strconv.Itoa(port))
			if err != nil {
				free = false
				break
			}
			_ = other.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port on %v", ips)
}

// process is a process of the project.
type process struct {
	name   string
	cmd    *exec.Cmd
	log    string
	exited chan struct{}
}

// start starts a role of the daemon with the command of the deploy file. Only the path of the
// settings differs.
func (w *world) start(role, name, settings string) (*process, error) {
	file := filepath.Join(w.temp, name+".jsonc")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log := filepath.Join(w.temp, name+".log")
	out, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(w.target, "nutmeglaned"), role, "--settings", file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, log: log, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	w.processes = append(w.processes, p)
	w.note("%s started", name)
	return p, nil
}

// hasExited reports whether the process has ended.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (p *process) end() {
	_ = p.cmd.Process.Kill() // fails only if it has ended
	<-p.exited
}

// tail returns the lines of the process's log that contain one of the texts.
func (p *process) grep(most int, texts ...string) []string {
	data, _ := os.ReadFile(p.log)
	var found []string
	for _, line := range strings.Split(string(data), "\n") {
		for _, text := range texts {
			if strings.Contains(line, text) && len(found) < most {
				found = append(found, line)
				break
			}
		}
	}
	return found
}

// keep copies a process's log into the record's directory if KEEP is set, for debugging.
func (w *world) keep() {
	dir := os.Getenv("KEEP")
	if dir == "" {
		return
	}
	for _, p := range w.processes {
		data, _ := os.ReadFile(p.log)
		_ = os.WriteFile(filepath.Join(dir, p.name+".log"), data, 0o600)
	}
}

// routerSettings fills in deploy/router.jsonc with the bounds of the small deployments.
func (w *world) routerSettings(ip string, callers, ready, operators, loaderPort int, store string) string {
	return fmt.Sprintf(`{
  "role": "router", "host": "front-a-1", "address": "%[1]s", "zone": "zone-a",
  "callers": "%[1]s:%[2]d", "readiness": "%[1]s:%[3]d", "operators": "%[1]s:%[4]d",
  "loaderPort": %[5]d, "store": "%[6]s", "processor": 0.304, "memoryMB": 284, "stopLimit": "8s",
  "bounds": {
    "drain": "2000ms", "configDelay": "2000ms", "retryRatio": 0.2, "retrySlack": 56,
    "retryWindow": "10s", "storeLoadWindow": "5s", "storeLoadSlack": 1.1,
  },
  "crowding": { "fromPause": "800ms", "budget": true, "copyPlan": true, "runCopies": false },
}`, ip, callers, ready, operators, loaderPort, store)
}

// loaderSettings fills in deploy/loader.jsonc.
func (w *world) loaderSettings(name, ip string, peers, operators int, engine string) string {
	return fmt.Sprintf(`{
  "role": "loader", "host": "%[5]s", "address": "%[1]s", "zone": "zone-a",
  "peers": "%[1]s:%[2]d", "engine": "%[4]s", "operators": "%[1]s:%[3]d", "memoryMB": 216, "stopLimit": "8s",
}`, ip, peers, operators, engine, name)
}
