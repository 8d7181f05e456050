package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// waitLimit bounds every wait, so that a hanging script fails. No check depends
// on its value.
const waitLimit = 60 * time.Second

// child is a process started by a script.
type child struct {
	// name is the name of the process in the script.
	name string
	cmd  *exec.Cmd
	// started is closed when the process has printed its addresses.
	started chan struct{}
	once    sync.Once
	// exited is closed when the process has exited and its output has been read.
	exited    chan struct{}
	addresses map[string]string

	mu     sync.Mutex
	output bytes.Buffer
}

func start(ts *testscript.TestScript, name string, args ...string) *child {
	path, err := lookPath(ts, args[0])
	ts.Check(err)
	c := &child{
		name: name, cmd: exec.Command(path, args[1:]...), started: make(chan struct{}), exited: make(chan struct{}),
		addresses: map[string]string{},
	}
	c.cmd.Dir = ts.Getenv("WORK")
	stdout, err := c.cmd.StdoutPipe()
	ts.Check(err)
	stderr, err := c.cmd.StderrPipe()
	ts.Check(err)
	ts.Check(c.cmd.Start())
	var readers sync.WaitGroup
	for _, pipe := range []io.Reader{stdout, stderr} {
		readers.Go(func() { c.read(pipe) })
	}
	b := stateOf(ts)
	b.allChildren = append(b.allChildren, c)
	go func() {
		readers.Wait()
		_ = c.cmd.Wait()
		close(c.exited)
	}()
	ts.Defer(c.end)
	return c
}

func lookPath(ts *testscript.TestScript, name string) (string, error) {
	for _, dir := range strings.Split(ts.Getenv("PATH"), string(os.PathListSeparator)) {
		if _, err := os.Stat(dir + "/" + name); err == nil {
			return dir + "/" + name, nil
		}
	}
	return exec.LookPath(name)
}

var listening = regexp.MustCompile(`listening on (.+)`)

func (c *child) read(pipe io.Reader) {
	lines := bufio.NewScanner(pipe)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		c.mu.Lock()
		c.output.WriteString(line + "\n")
		c.mu.Unlock()
		c.findAddresses(line)
	}
}

func (c *child) findAddresses(line string) {
	if match := listening.FindStringSubmatch(line); match != nil {
		addresses := map[string]string{}
		for i, address := range strings.Split(match[1], ", ") {
			addresses[strings.TrimPrefix("_"+strconv.Itoa(i+1), "_1")] = address
		}
		c.ready(addresses)
		return
	}
	var entry map[string]any
	if json.Unmarshal([]byte(line), &entry) != nil {
		return
	}
	if message, _ := entry["msg"].(string); message != "entry started" && message != "agent started" {
		return
	}
	addresses := map[string]string{}
	for _, name := range []string{"callers", "operators", "peers"} {
		if address, ok := entry[name].(string); ok {
			addresses["_"+name] = address
		}
	}
	c.ready(addresses)
}

func (c *child) ready(addresses map[string]string) {
	c.once.Do(func() {
		c.addresses = addresses
		close(c.started)
	})
}

func (c *child) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.output.String()
}

// end kills the process if it is still running.
func (c *child) end() {
	_ = c.cmd.Process.Signal(syscall.SIGCONT)
	_ = c.cmd.Process.Kill()
	<-c.exited
}

// saveOutputs writes the output of the processes of a failed script to files and logs
// their directory, so that a failure that is hard to reproduce can be analysed.
func saveOutputs(env *testscript.Env, b *scriptState) {
	if failed, ok := env.T().(interface{ Failed() bool }); !ok || !failed.Failed() {
		return
	}
	dir, err := os.MkdirTemp("", "scenario-")
	if err != nil {
		env.T().Log(err)
		return
	}
	for i, c := range b.allChildren {
		name := fmt.Sprintf("%02d-%s.log", i, c.name)
		if err := os.WriteFile(filepath.Join(dir, name), []byte(c.text()), 0o600); err != nil {
			env.T().Log(err)
		}
	}
	env.T().Log("output of the processes: ", dir)
}
