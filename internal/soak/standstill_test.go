package soak

import (
	"encoding/json"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against a router that the platform kills in the midst of an answer because it stood still
// when SIGTERM came and counts its stop limit from the moment at which it handled the signal.
func TestStopLimitCountsFromTheSignal(t *testing.T) {
	const (
		standstill = 1500 * time.Millisecond
		beforeWake = 100 * time.Millisecond
		engineHang = 30 * time.Second
		neverKill  = 40 * time.Second
	)
	w := startWorld(t, 90, usualRetries, platformStopLimit, true)
	defer w.close()
	c := newCaller(w, "c", &atomic.Bool{})
	c.kinds = []string{"resumable"}
	defer c.client.CloseIdleConnections()
	w.await(t, "a stream to be served", func() bool {
		c.call("resumable")
		return w.checker.counts()["resumable"] > 0
	})
	for _, b := range w.engines {
		b.engine.pauseFor(engineHang)
	}
	router := w.routers[0]
	router.killAfter = neverKill
	router.signal(syscall.SIGSTOP)
	var running sync.WaitGroup
	running.Go(func() { router.end(syscall.SIGTERM) })
	time.Sleep(standstill - beforeWake)
	running.Go(func() {
		for range 8 { // some are not sent: an account without quota, or a caller that leaves
			c.call("resumable")
		}
	})
	time.Sleep(beforeWake)
	router.resume()
	running.Wait()
	for _, b := range w.engines {
		b.engine.wake()
	}
	late, endsWithin, sinceStop := stopTimes(t, router.log)
	if late < standstill/2 {
		t.Errorf("the router took the signal for %v late, it stood still for %v", late, standstill)
	}
	if sinceStop < time.Second {
		t.Errorf("no request ran until the stop limit: the last one ended after %v", sinceStop)
	}
	if late+endsWithin > platformStopLimit {
		t.Errorf("the stop may last until %v after the signal", late+endsWithin)
	}
}

// stopTimes returns from a router's log how late it handled SIGTERM, how long it then takes to stop, and
// how long after the signal it ended the last request.
func stopTimes(t *testing.T, log string) (late, endsWithin, sinceStop time.Duration) {
	t.Helper()
	data, err := os.ReadFile(log)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		var fields struct {
			Msg, Late  string
			EndsWithin string `json:"ends_within"`
			SinceStop  string `json:"since_stop"` // from the signal on
		}
		if json.Unmarshal([]byte(line), &fields) != nil {
			continue
		}
		if fields.Msg == "stopping" {
			late, _ = time.ParseDuration(fields.Late) // absent: 0
			endsWithin, _ = time.ParseDuration(fields.EndsWithin)
		}
		if d, err := time.ParseDuration(fields.SinceStop); err == nil {
			sinceStop = max(sinceStop, d)
		}
	}
	return late, endsWithin, sinceStop
}
