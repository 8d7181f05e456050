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

// process is a router or loader that is started again after each end.
type process struct {
	role, settings, log string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the present life is over.
	ended chan struct{}
	// down is set from a signal to end until the next start.
	down bool
	// crashes are ends that no signal of the soak explains: how, and how long after the start.
	crashes []string
	// disturbed is when it was started and got signals.
	disturbed []time.Time
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
		_ = cmd.Wait() // its status is told below
		_ = log.Close()
		p.mu.Lock()
		if !p.down {
			p.crashes = append(p.crashes, fmt.Sprintf("%v, %v after its start", cmd.ProcessState, time.Since(started)))
		}
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// programPoll is the pause between two looks at a process that starts.
const programPoll = time.Millisecond

// signal sends a signal that does not end the process. SIGHUP waits for the program's first
// instruction: before that it ends any program, and a parent that starts a process holds the
// lock, so that what comes meanwhile would come at that moment.
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

// runs tells whether the Go runtime of the process has begun, which starts threads, or the
// process has ended. It holds p.mu.
func (p *process) runs() bool {
	select {
	case <-p.ended:
		return true
	default:
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	return err != nil || !oneThread.Match(status)
}

// end ends the process by SIGTERM, and by SIGKILL when that has no effect. It
// reports false if another fault is ending it already.
func (p *process) end(s syscall.Signal) bool {
	p.mu.Lock()
	if p.down {
		p.mu.Unlock()
		return false
	}
	p.down = true
	p.disturbed = append(p.disturbed, time.Now())
	cmd, ended := p.cmd, p.ended
	_ = cmd.Process.Signal(s)
	p.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(stopLimit + time.Second):
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-ended
	}
	return true
}

// disturbedWithin tells whether the process was started or got a signal within a time
// before.
func (p *process) disturbedWithin(at time.Time, span time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.disturbed, func(d time.Time) bool { return !d.After(at) && at.Sub(d) < span })
}

func (p *process) ownEnds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.crashes)
}

// writeSettings writes a process's settings file.
func writeSettings(dir, name, text string) (string, error) {
	path := filepath.Join(dir, name+".jsonc")
	return path, os.WriteFile(path, []byte(text), 0o644)
}

// awaitLines waits until the log has so many lines on a start, or the process has ended.
func (p *process) awaitLines(starts int) {
	for {
		log, _ := os.ReadFile(p.log) // not there yet is none
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

// Guards against a soak that takes the end of a process by SIGHUP for its own fault where the
// signal came before the program's first instruction: then it ends any program.
func TestHangupFollowsTheStart(t *testing.T) {
	settings, err := writeSettings(t.TempDir(), "loader", `{
		"role": "loader", "host": "l", "address": "127.0.0.1", "zone": "z", "peers": "127.0.0.1:0",
		"engine": "127.0.0.1:1", "operators": "127.0.0.1:0", "stopLimit": "1s",
	}`)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{role: "loader", settings: settings, log: filepath.Join(t.TempDir(), "loader.log")}
	for i := range 10 {
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
		p.signal(syscall.SIGHUP)
		p.awaitLines(i + 1)
		p.end(syscall.SIGKILL)
	}
	for _, end := range p.ownEnds() {
		t.Error(end)
	}
}
