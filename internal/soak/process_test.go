package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/selfexec"
)

func TestMain(m *testing.M) { selfexec.Main(m) }

// process is a router or loader that can be restarted.
type process struct {
	role, settings, log string
	// stopLimit is the time that the process has from SIGTERM on, killAfter that until SIGKILL.
	stopLimit, killAfter time.Duration

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the current operating system process has exited.
	ended chan struct{}
	// down is set from the terminating signal until the next start.
	down bool
	// crashes describes exits without a terminating signal from the test: the state, and the
	// time since the start.
	crashes []string
	// disturbed holds the times of starts and signals.
	disturbed []time.Time
	// stopped holds the times of SIGTERM, killed those of SIGKILL.
	stopped []time.Time
	killed  []time.Time
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(os.Args[0], p.role, "--settings", p.settings)
	cmd.Env = append(os.Environ(), selfexec.Variable+"=1")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.down = cmd, ended, false
	p.disturbed = append(p.disturbed, time.Now())
	started := time.Now()
	go func() {
		_ = cmd.Wait() // its status is recorded below
		_ = log.Close()
		p.mu.Lock()
		if !p.down {
			p.crashes = append(p.crashes, fmt.Sprintf("%v, %v after the start", cmd.ProcessState, time.Since(started)))
		}
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// programPoll is the interval of the checks on a starting process.
const programPoll = time.Millisecond

// signal sends a signal that does not terminate the process. SIGHUP waits until the Go runtime
// of the process runs, because before that it terminates any program. Signals that wait for the
// lock during a start would otherwise be sent exactly at that moment.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s == syscall.SIGHUP && !p.down && !p.runs() {
		time.Sleep(programPoll)
	}
	p.disturbed = append(p.disturbed, time.Now())
	if !p.down {
		_ = p.cmd.Process.Signal(s) // a process that has just ended needs none
	}
}

var oneThread = regexp.MustCompile(`(?m)^Threads:\t1$`)

// runs reports whether the Go runtime of the process has started, which creates threads, or
// the process has exited. The caller holds p.mu.
func (p *process) runs() bool {
	select {
	case <-p.ended:
		return true
	default:
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	return err != nil || !oneThread.Match(status)
}

// end terminates the process by the signal, and by SIGKILL if it has not exited after
// killAfter. It reports false if another fault is already terminating it.
func (p *process) end(s syscall.Signal) bool {
	p.mu.Lock()
	if p.down {
		p.mu.Unlock()
		return false
	}
	p.down = true
	p.disturbed = append(p.disturbed, time.Now())
	if s == syscall.SIGKILL {
		p.killed = append(p.killed, time.Now())
	} else {
		p.stopped = append(p.stopped, time.Now())
	}
	cmd, ended := p.cmd, p.ended
	_ = cmd.Process.Signal(s)
	p.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(p.killAfter):
		p.mu.Lock()
		p.killed = append(p.killed, time.Now())
		p.mu.Unlock()
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-ended
	}
	return true
}

// disturbedWithin reports whether the process was started or got a signal less than span
// before at.
func (p *process) disturbedWithin(at time.Time, span time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.disturbed, func(d time.Time) bool { return !d.After(at) && at.Sub(d) < span })
}

// killedSince reports whether the process got SIGKILL after a time.
func (p *process) killedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.killed, func(k time.Time) bool { return k.After(t) })
}

// resume lets the process run again, also one that is being terminated.
func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // a process that has just ended needs none
}

// lastStopBefore returns the time of the last SIGTERM before a time, the zero time if there was none.
func (p *process) lastStopBefore(at time.Time) (stop time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.stopped {
		if s.Before(at) {
			stop = s
		}
	}
	return stop
}

func (p *process) unexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.crashes)
}

// writeSettings writes a process's settings file.
func writeSettings(dir, name, text string) (string, error) {
	path := filepath.Join(dir, name+".jsonc")
	return path, os.WriteFile(path, []byte(text), 0o644)
}

// awaitLines waits until the log has the given number of start messages or the process has
// exited.
func (p *process) awaitLines(starts int) {
	for {
		log, _ := os.ReadFile(p.log) // a missing file has no lines
		if bytes.Count(log, []byte(`"loader starting"`)) >= starts {
			return
		}
		select {
		case <-p.ended:
			return
		case <-time.After(programPoll):
		}
	}
}

// Guards against a test that reports a crash although the process was terminated by a SIGHUP
// sent before its Go runtime had started. At that time SIGHUP terminates any program.
func TestHangupFollowsTheStart(t *testing.T) {
	settings, err := writeSettings(t.TempDir(), "loader", `{
		"role": "loader", "host": "l", "address": "127.0.0.1", "zone": "z", "peers": "127.0.0.1:0",
		"engine": "127.0.0.1:1", "operators": "127.0.0.1:0", "stopLimit": "1s",
	}`)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{role: "loader", settings: settings, log: filepath.Join(t.TempDir(), "loader.log"), stopLimit: stopLimit, killAfter: stopLimit + time.Second}
	for i := range 10 {
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
		p.signal(syscall.SIGHUP)
		p.awaitLines(i + 1)
		p.end(syscall.SIGKILL)
	}
	for _, end := range p.unexpectedExits() {
		t.Error(end)
	}
}
