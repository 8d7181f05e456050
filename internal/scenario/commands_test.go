package scenario

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/tidwall/gjson"
)

// The script commands:
//
//	platform                     start the platform stand-ins kv, store and hosts
//	spawn NAME PROGRAM ARGS...   start a process and wait until it listens; set
//	                             $NAME, or $NAME_callers, $NAME_operators and
//	                             $NAME_peers, to its addresses
//	entry NAME ZONE [FLAG...]    start an entry that uses $kv and $hosts
//	agent NAME ZONE engine|SERVICE ADDRESS [FLAG...]
//	                             start an agent and add it to the host list, with
//	                             the address $NAME_advertise if that is set
//	signal NAME SIGNAL           send TERM, KILL, STOP or CONT
//	exits NAME STATUS            wait for the process to exit with the status
//	await URL REGEXP             poll a page until it matches
//	post URL BODY                send a POST request, which must succeed
//	sum WANT FIELD URL...        check that the sum of a JSON field of the pages
//	                             is WANT
//	reach WANT FIELD URL...      poll until that sum is WANT
//	chat ID ENTRY KEY MODEL@VERSION PROMPT TOKENS [HEADER=VALUE...]
//	                             start a streamed completion in the background
//	begun ID                     wait for the first token
//	ended ID                     wait for the end with any result
//	whole ID                     wait for the end and check that the answer is
//	                             complete and correct
//	refused ID CODE              wait for the end and check the result code
//	call ID ENTRY KEY METHOD PATH [HEADER=VALUE...]
//	                             start a service call in the background
//	answered ID STATUS           wait for its complete answer with the status
//	insist ID ...                as chat, but repeat after each Retry-After
//	slow ID ...                  as chat, but stop reading after the first token
//	takes ID                     make a slow reader continue reading
//	relay NAME ADDRESS           start a TCP relay at $NAME, or change its target
//	blackhole NAME in|out        make its open connections drop all data from
//	                             (in) or to (out) the dialling process
//	balance NAME ADDRESS...      as relay, but to the addresses that are ready
//	load ID PLAN                 start a load in the background
//	faultless ID [CLASS...]      stop it and check every answer; requests of the
//	                             classes may be refused
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"spawn": spawn, "entry": startEntry, "agent": startAgent,
	"signal": sendSignal, "exits": exits, "await": await, "post": post, "sum": sum, "reach": reach,
	"chat": chat, "begun": begun, "ended": end, "whole": whole, "refused": refused,
	"call": call, "answered": answered, "slow": slow, "insist": insist, "takes": takes,
	"platform": platform, "relay": relayTo(false), "balance": relayTo(true), "blackhole": blackhole,
	"load": startLoad, "faultless": faultless,
}

// scriptState holds the processes, requests, relays and loads of one script.
type scriptState struct {
	// allChildren lists all processes in start order; children maps a name to the
	// last process started under it.
	allChildren []*child
	children    map[string]*child
	requests    map[string]*request
	relays      map[string]*scriptRelay
	loads       map[string]*loadRun
}

type scriptStateKey struct{}

func setup(env *testscript.Env) error {
	b := &scriptState{
		children: map[string]*child{}, requests: map[string]*request{},
		relays: map[string]*scriptRelay{}, loads: map[string]*loadRun{},
	}
	env.Values[scriptStateKey{}] = b
	env.Defer(func() { saveOutputs(env, b) })
	declarations, err := filepath.Abs(filepath.Join("testdata", "declarations"))
	env.Setenv("declarations", declarations)
	return err
}

func stateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value(scriptStateKey{}).(*scriptState)
}

func spawn(ts *testscript.TestScript, _ bool, args []string) {
	c := start(ts, args[0], args[1:]...)
	stateOf(ts).children[args[0]] = c
	select {
	case <-c.started:
	case <-c.exited:
		ts.Fatalf("%s exited before it listened:\n%s", args[0], c.text())
	case <-time.After(waitLimit):
		ts.Fatalf("%s does not listen:\n%s", args[0], c.text())
	}
	for suffix, address := range c.addresses {
		ts.Setenv(args[0]+suffix, address)
	}
}

func platform(ts *testscript.TestScript, _ bool, _ []string) {
	spawn(ts, false, []string{"kv", "nutmeglane", "dev", "kv"})
	spawn(ts, false, []string{"store", "nutmeglane", "dev", "store", "--loads", "50"})
	spawn(ts, false, []string{"hosts", "nutmeglane", "dev", "hosts", "--lag", "0s"})
}

// shortTimings returns timings of seconds for what takes minutes in production.
// A script may set $tenure.
func shortTimings(ts *testscript.TestScript) string {
	return fmt.Sprintf(`"timings": {"tenure": %q, "tenureMargin": "1s", "unloadLead": "2s",
	"orderValidity": "500ms", "reportInterval": "500ms", "rosterInterval": "500ms",
	"stewardLease": "3s", "grace": "2s", "pingInterval": "500ms"}`, cmp.Or(ts.Getenv("tenure"), "20s"))
}

// stopDelay is longer than callerIdle and than a readiness check of a balance
// relay.
const stopDelay = "2s"

func writeSettings(ts *testscript.TestScript, name, format string, args ...any) string {
	file := ts.MkAbs(name + ".json")
	ts.Check(os.WriteFile(file, fmt.Appendf(nil, format, args...), 0o600))
	return file
}

func startEntry(ts *testscript.TestScript, _ bool, args []string) {
	file := writeSettings(ts, args[0], `{"role": "entry", "host": %q, "zone": %q,
		"callers": {"listen": "127.0.0.1:0", "stopDelay": %q}, "operators": {"listen": "127.0.0.1:0"},
		"kv": {"url": "http://%s"}, "hosts": {"url": "http://%s/hosts", "interval": "200ms"}, %s}`,
		args[0], args[1], stopDelay, ts.Getenv("kv"), ts.Getenv("hosts"), shortTimings(ts))
	spawn(ts, false, append([]string{args[0], "nutmeglaned", "entry", "--settings", file}, args[2:]...))
}

func startAgent(ts *testscript.TestScript, _ bool, args []string) {
	name, zone, kind, backend := args[0], args[1], args[2], args[3]
	service := ""
	if kind != "engine" {
		kind, service = "service", kind
	}
	peers := `{"listen": "127.0.0.1:0"}`
	advertise := ts.Getenv(name + "_advertise")
	if advertise != "" {
		peers = fmt.Sprintf(`{"listen": "127.0.0.1:0", "advertise": %q}`, advertise)
	}
	file := writeSettings(ts, name, `{"role": "agent", "host": %q, "zone": %q,
		"peers": %s, "operators": {"listen": "127.0.0.1:0"},
		"backend": {"kind": %q, "url": "http://%s", "service": %q},
		"hosts": {"url": "http://%s/hosts", "interval": "200ms"}, %s}`,
		name, zone, peers, kind, backend, service, ts.Getenv("hosts"), shortTimings(ts))
	spawn(ts, false, append([]string{name, "nutmeglaned", "agent", "--settings", file}, args[4:]...))
	host := fmt.Sprintf(`{"id": %q, "address": %q, "zone": %q, "role": "backend", "state": "live"}`,
		name, cmp.Or(advertise, ts.Getenv(name+"_peers")), zone)
	post(ts, false, []string{"http://" + ts.Getenv("hosts") + "/admin/hosts", host})
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

func childOf(ts *testscript.TestScript, name string) *child {
	c := stateOf(ts).children[name]
	if c == nil {
		ts.Fatalf("no process %s", name)
	}
	return c
}

func sendSignal(ts *testscript.TestScript, _ bool, args []string) {
	process := childOf(ts, args[0]).cmd.Process
	ts.Check(process.Signal(signals[args[1]]))
	if args[1] == "STOP" {
		awaitStopped(ts, process.Pid)
	}
}

var stoppedThread = regexp.MustCompile(`^\d+ \(.*\) [Tt] `)

// awaitStopped waits until every thread of a process is stopped. When kill
// returns, the signal may still be pending, and a thread that is still running
// would process the next input.
func awaitStopped(ts *testscript.TestScript, pid int) {
	poll(ts, fmt.Sprintf("process %d stopped", pid), func() (string, bool) {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
		for _, file := range files {
			if stat, _ := os.ReadFile(file); !stoppedThread.Match(stat) {
				return string(stat), false
			}
		}
		return "", len(files) > 0
	})
}

func exits(ts *testscript.TestScript, _ bool, args []string) {
	c := childOf(ts, args[0])
	select {
	case <-c.exited:
	case <-time.After(waitLimit):
		ts.Fatalf("%s does not exit:\n%s", args[0], c.text())
	}
	if got := strconv.Itoa(c.cmd.ProcessState.ExitCode()); got != args[1] {
		ts.Fatalf("%s exits with %s, want %s:\n%s", args[0], got, args[1], c.text())
	}
}

func fetch(url string) string {
	response, err := http.Get(url)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

const pollInterval = 20 * time.Millisecond

// poll calls check until it reports true. It fails the script with the last text
// of check after waitLimit.
func poll(ts *testscript.TestScript, wanted string, check func() (string, bool)) {
	guard, again := time.After(waitLimit), time.NewTicker(pollInterval)
	defer again.Stop()
	for {
		seen, ok := check()
		if ok {
			return
		}
		select {
		case <-again.C:
		case <-guard:
			ts.Fatalf("timed out waiting for %s; last seen:\n%s", wanted, seen)
		}
	}
}

func await(ts *testscript.TestScript, neg bool, args []string) {
	want := regexp.MustCompile(args[1])
	poll(ts, fmt.Sprintf("%s at %s (negated: %t)", args[1], args[0], neg), func() (string, bool) {
		body := fetch(args[0])
		return body, want.MatchString(body) != neg
	})
}

func post(ts *testscript.TestScript, _ bool, args []string) {
	response, err := http.Post(args[0], "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	if body, _ := io.ReadAll(response.Body); response.StatusCode >= 300 {
		ts.Fatalf("POST %s: %s: %s", args[0], response.Status, body)
	}
}

func total(field string, urls []string) (string, string) {
	total := 0.0
	var pages []string
	for _, url := range urls {
		body := fetch(url)
		pages = append(pages, body)
		total += gjson.Get(body, field).Float()
	}
	return strconv.FormatFloat(total, 'f', -1, 64), strings.Join(pages, "\n")
}

func sum(ts *testscript.TestScript, _ bool, args []string) {
	if got, pages := total(args[1], args[2:]); got != args[0] {
		ts.Fatalf("sum of %s is %s, want %s:\n%s", args[1], got, args[0], pages)
	}
}

func reach(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, fmt.Sprintf("%s as the sum of %s", args[0], args[1]), func() (string, bool) {
		got, pages := total(args[1], args[2:])
		return pages, got == args[0]
	})
}
