package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/settings"
)

// startLimit is the timeout for the start of one daemon. It allows for a busy
// machine.
const startLimit = 30 * time.Second

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// Process is a daemon that runs as a process.
type Process struct {
	Role settings.Role
	Host string
	// Callers, Operators and Peers are the addresses of the listeners as
	// "IP:port", empty if the role has no such listener.
	Callers, Operators, Peers string

	command *exec.Cmd
	client  *http.Client
	started chan struct{}
	exited  chan struct{}

	mu sync.Mutex
	// inForce has the time at which each revision came into force at this
	// daemon.
	inForce map[int64]time.Time
	// lastLine is the latest log line, for the error of a failed start.
	lastLine string
}

// logLine has the attributes of a daemon's log line that measurements use.
type logLine struct {
	Time      time.Time `json:"time"`
	Message   string    `json:"msg"`
	Callers   string    `json:"callers"`
	Operators string    `json:"operators"`
	Peers     string    `json:"peers"`
	Revision  int64     `json:"revision"`
}

func startProcess(daemon string, role settings.Role, host, file string, client *http.Client) (*Process, error) {
	p := &Process{
		Role: role, Host: host, client: client, inForce: map[int64]time.Time{},
		command: exec.Command(daemon, string(role), "--settings", file),
		started: make(chan struct{}), exited: make(chan struct{}),
	}
	logs, err := p.command.StderrPipe()
	if err != nil {
		return nil, errors.Wrap(err, "open log pipe")
	}
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", daemon)
	}
	go p.readLogs(logs)
	return p, nil
}

// readLogs reads log lines until the process exits.
func (p *Process) readLogs(logs io.Reader) {
	defer close(p.exited)
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		p.handleLogLine(lines.Bytes())
	}
	_ = p.command.Wait()
}

func (p *Process) handleLogLine(data []byte) {
	var line logLine
	if json.Unmarshal(data, &line) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastLine = string(data)
	switch {
	case line.Message == "configuration in force":
		p.inForce[line.Revision] = line.Time
	case strings.HasSuffix(line.Message, " started") && p.Operators == "":
		p.Callers, p.Operators, p.Peers = line.Callers, line.Operators, line.Peers
		close(p.started)
	}
}

func (p *Process) awaitStart(ctx context.Context) error {
	select {
	case <-p.started:
		return nil
	case <-p.exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return errors.Newf("%s exited during startup: %s", p.Host, p.lastLine)
	case <-time.After(startLimit):
		return errors.Newf("%s did not start within %v", p.Host, startLimit)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// InForceAt returns the time at which the given revision or a later one first
// came into force at this daemon, and false if none has. Later revisions count,
// since a daemon that applies several changes at once logs only the last one.
func (p *Process) InForceAt(revision int64) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first time.Time
	for r, at := range p.inForce {
		if r >= revision && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// Sample has the CPU time, the resident memory in bytes and the metrics of a
// process.
type Sample struct {
	CPU      time.Duration
	Resident int64
	Metrics  Metrics
}

// Sample reads the current counters of the process.
func (p *Process) Sample(ctx context.Context) (Sample, error) {
	// The CPU time is read before the scrape, so that of two samples at the
	// ends of a window only the scrape of the first adds to the window's CPU time.
	cpu, err := cpuTime(p.command.Process.Pid)
	if err != nil {
		return Sample{}, err
	}
	resident, err := residentBytes(p.command.Process.Pid)
	if err != nil {
		return Sample{}, err
	}
	metrics, err := scrape(ctx, p.client, p.Operators)
	return Sample{CPU: cpu, Resident: resident, Metrics: metrics}, err
}

// kill kills the process by its PID and waits until it has exited.
func (p *Process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}
