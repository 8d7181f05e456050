package loader

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// Guards against a router's wrong field that nobody notices: each must be counted by its name,
// once per request for a permit.
func TestMalformedPermitFieldsAreCounted(t *testing.T) {
	w := newFixture(t)
	w.step(RouterUp{Router: "r1"})
	request := core.LimitRequest{Server: core.ServerLife{Instance: "s"}, RequestID: 7, Weight: -1, Rank: -1, Slack: time.Second}
	var fields []string
	for _, effect := range w.loader.Step(w.now, LimitRequested{Router: "r1", Request: request}) {
		if c, ok := effect.(Count); ok && c.Name == metricMalformedPermits {
			fields = append(fields, c.Labels[0])
		}
	}
	if want := []string{"weight", "rank"}; !slices.Equal(fields, want) {
		t.Errorf("counted %v, want %v", fields, want)
	}
}

// Guards against a log that does not show which account had its share, and for how long.
func TestShareChangesAreLogged(t *testing.T) {
	w := newFixture(t)
	w.step(RouterUp{Router: "r1"})
	server := core.ServerLife{Instance: "s"}
	w.loader.limits.SetBudget(w.now, server, limit.Budget{PerSecond: 8, Burst: time.Second, Shared: true})
	lines := map[string][]slog.Attr{}
	step := func(event Event) {
		for _, effect := range w.loader.Step(w.now, event) {
			if line, ok := effect.(Log); ok {
				lines[line.Message] = line.Attrs
			}
		}
	}
	for i := range 400 { // 4 s
		w.now = w.now.Add(10 * time.Millisecond)
		for _, account := range []string{"busy", "other"} {
			if account == "busy" || i%50 == 0 {
				step(LimitRequested{Router: "r1", Request: core.LimitRequest{Server: server, RequestID: 1, Account: account, Slack: time.Second}})
			}
		}
	}
	if shares := w.loader.Dump().Limits[0].Shares; len(shares) != 2 || shares[0].Account != "busy" || shares[0].Refused == 0 {
		t.Errorf("the dump has shares %+v", shares)
	}
	w.now = w.now.Add(5 * time.Second)
	step(Tick{})
	for message, attr := range map[string]string{"account refused for its share": "share", "account no longer refused for its share": "lasted"} {
		attrs := lines[message]
		has := func(name, value string) bool {
			return slices.ContainsFunc(attrs, func(a slog.Attr) bool { return a.Key == name && (value == "" || a.Value.String() == value) })
		}
		if !has("account", "busy") || !has("instance", "s") || !has(attr, "") {
			t.Errorf("%q has %v", message, attrs)
		}
	}
}
