package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Accounts of the deployment. The key of the steady account is always valid. The busy
// account requests several times its bound. The rotating account has one key, which
// changes with each configuration.
const (
	steadyAccount, busyAccount, rotatingAccount = "steady", "busy", "rotating"
	steadyKey, busyKey                          = "steady-key-0123456789", "busy-key-01234567890"
	forgedKey                                   = "forged-key-0123456789"
	// Shares of the calls; the remaining calls belong to the steady account.
	busyShare, rotatingShare, forgedShare = 0.15, 0.05, 0.03
	// callTokens is the number of tokens charged for a call to an engine, plainTokens that
	// for a call to a plain service.
	callTokens, plainTokens = 60, 100
	// The bound of the busy account in tokens per second and burst; 12 callers request
	// about three times that.
	busyRate, busyBurst = 300, 300
	quotaWindow         = 8 * time.Second
	quotaOver           = 0.1
	quotaSlack          = 1500
)

// busyBound is the maximum number of tokens of the busy account within a window.
const busyBound = (busyRate*8+busyBurst)*(1+quotaOver) + quotaSlack

// rotatingKey returns the key of the rotating account in a configuration version.
func rotatingKey(version int) string { return fmt.Sprintf("rotating-key-%08d", version) }

func accountConfigs(version int) []map[string]any {
	return []map[string]any{
		{"name": steadyAccount, "apiKeys": []string{steadyKey}, "priority": 1},
		{
			"name": busyAccount, "apiKeys": []string{busyKey}, "unit": "token_accounting", "plainTokens": plainTokens,
			"ratePerS": busyRate, "burst": busyBurst,
		},
		{"name": rotatingAccount, "apiKeys": []string{rotatingKey(version)}},
	}
}

// drawAccount draws a key and returns it with its account, which is "" for a forged key.
func (w *world) drawAccount() (key, account string) {
	switch x := rand.Float64(); {
	case x < busyShare:
		return busyKey, busyAccount
	case x < busyShare+rotatingShare:
		return rotatingKey(int(w.newest.Load())), rotatingAccount
	case x < busyShare+rotatingShare+forgedShare:
		return forgedKey, ""
	default:
		return steadyKey, steadyAccount
	}
}

// use is a run of a request of the busy account.
type use struct {
	sent, began time.Time
	tokens      int
}

// tokens returns the number of tokens charged for a call.
func (a sentRequest) tokens() int {
	if a.model == "" {
		return plainTokens
	}
	return callTokens
}

// worstWindow returns the maximum sum of tokens of runs that were both sent and started
// within the same window.
func worstWindow(uses []use) int {
	worst := 0
	for _, first := range uses {
		sum := 0
		for _, u := range uses {
			if !u.sent.Before(first.sent) && u.began.Before(first.sent.Add(quotaWindow)) {
				sum += u.tokens
			}
		}
		worst = max(worst, sum)
	}
	return worst
}

// leakedKeys returns the process logs, notes in the store, state dumps and metrics pages that
// contain an API key.
func (w *world) leakedKeys() []string {
	keys := []string{steadyKey, busyKey, forgedKey, "rotating-key-"}
	var found []string
	look := func(name string, data []byte) {
		if slices.ContainsFunc(keys, func(key string) bool { return bytes.Contains(data, []byte(key)) }) {
			found = append(found, name)
		}
	}
	logs, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
	for _, log := range logs {
		data, err := os.ReadFile(log)
		if err != nil {
			w.t.Error(err)
		}
		look(log, data)
	}
	for key, note := range w.store.notes() {
		look(key, note)
	}
	c := newCaller(w, "operator", &atomic.Bool{})
	defer c.client.CloseIdleConnections()
	for i := range routerCount {
		for _, path := range []string{"/debug/state", "/metrics"} {
			ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
			status, body, err := c.get(ctx, i, operatorsPort, path)
			cancel()
			if err != nil || status != http.StatusOK {
				w.t.Errorf("router%d %s: status %d, %v", i, path, status, err)
			}
			look(fmt.Sprintf("router%d%s", i, path), []byte(body))
		}
	}
	return found
}

// copies holds recent copies of the store's contents, from which it can be restored.
type copies struct {
	mu   sync.Mutex
	list []storeCopy
}

type storeCopy struct {
	items    map[string]item
	revision int64
}

// A copy is made every copyPause; the oldest of maxCopies is at most that many pauses old.
const (
	maxCopies = 6
	copyPause = 300 * time.Millisecond
)

func (c *copies) add(one storeCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, one)
	if len(c.list) > maxCopies {
		c.list = c.list[1:]
	}
}

func (c *copies) oldest() (storeCopy, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.list) == 0 {
		return storeCopy{}, false
	}
	one := c.list[0]
	c.list = nil // they belong to the era that ends
	return one, true
}
