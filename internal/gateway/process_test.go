package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"
)

// engineVariable makes the test binary run as an engine that listens on the host it names.
const engineVariable = "NUTMEGLANE_TEST_ENGINE"

const (
	// processEvents is the number of events of an engine process's stream, processPause the pause
	// between them. An engine is killed after killedAfter events.
	processEvents, killedAfter = 40, 10
	processPause               = 5 * time.Millisecond
)

func TestMain(m *testing.M) {
	if host := os.Getenv(engineVariable); host != "" {
		os.Exit(runEngine(host))
	}
	os.Exit(m.Run())
}

// runEngine serves runs until the process is killed.
func runEngine(host string) int {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return 1
	}
	fmt.Println(l.Addr())
	for {
		conn, err := l.Accept()
		if err != nil {
			return 1
		}
		go streamRun(conn, l.Addr().String())
	}
}

// streamRun sends the events of a run after the last one that its request names, and the address of
// this engine in its head.
func streamRun(conn net.Conn, address string) {
	defer func() { _ = conn.Close() }()
	header := readHeader(conn)
	last, _ := strconv.Atoi(header.Get("Last-Event-Id"))
	if last > 0 && header.Get("Kv-From") != address+"/r1" {
		return
	}
	_, _ = io.WriteString(conn, answerHead("r1", streamHead+"X-Engine: "+address+"\r\n"))
	for id := last + 1; id <= processEvents; id++ {
		time.Sleep(processPause)
		if _, err := io.WriteString(conn, chunk(event(id))); err != nil {
			return
		}
	}
	_, _ = io.WriteString(conn, lastChunk)
}

// startEngine starts an engine process on a host and returns it with its address.
func startEngine(t *testing.T, host string) (process *os.Process, address string) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), engineVariable+"="+host)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return cmd.Process, strings.TrimSpace(line)
}

// Guards against a caller who loses a single-attempt stream, or gets a part of it twice, because the
// process of its engine is killed.
func TestRunOfAKilledEngineProcessIsContinued(t *testing.T) {
	f := &copiesFixture{}
	processes := map[string]*os.Process{}
	for i := range f.addresses {
		process, address := startEngine(t, fmt.Sprintf("127.0.0.%d", i+2))
		f.addresses[i], processes[address] = address, process
	}
	f.start(t)
	request, err := http.NewRequest(http.MethodPost, f.callers.URL+"/run/x", strings.NewReader("note"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "callers.example"
	request.Header.Set("Nutmeglane-Request-Id", "r1")
	request.Header.Set("Nutmeglane-Model", "m0")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	start := make([]byte, len(events(1, killedAfter)))
	if _, err := io.ReadFull(response.Body, start); err != nil {
		t.Fatal(err)
	}
	if err := processes[response.Header.Get("X-Engine")].Kill(); err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(response.Body)
	if got := string(start) + string(rest); got != events(1, processEvents) || err != nil {
		t.Errorf("%v, body %q", err, got)
	}
}
