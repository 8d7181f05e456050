package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"nutmeglane.example/nutmeglane/internal/certs/certstest"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/daemon"
	"nutmeglane.example/nutmeglane/internal/dev"
	"nutmeglane.example/nutmeglane/internal/operator/status"
	"nutmeglane.example/nutmeglane/internal/settings"
	"nutmeglane.example/nutmeglane/internal/standin/hosts"
	"nutmeglane.example/nutmeglane/internal/standin/kv"
	"nutmeglane.example/nutmeglane/internal/standin/service"
)

const (
	testToken = "token-of-the-operators"
	digestOne = "9b346041bc9a49574eb2665b2ad2a0a3f9f9cce4e42f5d1f26deb8a256b5966a"
	declared  = `[
  {"apiVersion": "nutmeglane/v1", "kind": "Service", "metadata": {"name": "akte"}, "spec": {"maxConcurrent": 4}},
  {"apiVersion": "nutmeglane/v1", "kind": "ClientAccount", "metadata": {"name": "helvarin"}, "spec": {"apiKeySHA256": ["` + digestOne + `"]}},
]`
)

// system is an entry and an agent with TLS at all addresses and an operators' token.
type system struct {
	t         *testing.T
	authority *certstest.Authority
	ca        string
	entry     *daemon.Entry
	agent     *daemon.Agent
	agentDone chan error
}

func standIn(t *testing.T, handler http.Handler, closer func()) string {
	server, err := dev.Serve("127.0.0.1:0", handler, closer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.URL()
}

func startSystem(t *testing.T) *system {
	s := &system{t: t, authority: certstest.New(t), agentDone: make(chan error, 1)}
	store := kv.New(kv.Options{})
	list := hosts.New(hosts.Options{})
	records := service.New(service.Options{Instance: "akte-1"})
	kvURL, listURL := standIn(t, store, store.Close), standIn(t, list, nil)
	logger := slog.New(slog.DiscardHandler)

	agent := settings.DefaultAgent()
	agent.Common = s.common(agent.Common, settings.RoleAgent, "akte-1", listURL)
	agent.Peers.Listen, agent.Peers.TLS = netip.MustParseAddrPort("127.0.0.1:0"), s.tls()
	agent.Backend = settings.Backend{Kind: core.BackendService, URL: standIn(t, records, records.Close), Service: "akte"}
	entry := settings.DefaultEntry()
	entry.Common = s.common(entry.Common, settings.RoleEntry, "entry-1", listURL)
	entry.Callers.Listen, entry.Callers.TLS, entry.Callers.StopDelay = netip.MustParseAddrPort("127.0.0.1:0"), s.tls(), 0
	entry.Callers.TLS.CA = "" // callers authenticate with API keys
	entry.Peers.TLS, entry.KV.URL = s.tls(), kvURL

	var err error
	if s.agent, err = daemon.NewAgent(agent, logger); err != nil {
		t.Fatal(err)
	}
	list.Put(core.Host{ID: agent.Host, Address: s.agent.Addresses.Peers.String(), Zone: agent.Zone, Role: core.RoleBackend, State: core.HostLive})
	if s.entry, err = daemon.NewEntry(entry, logger); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	entryDone := make(chan error, 1)
	go func() { s.agentDone <- s.agent.Run(ctx) }()
	go func() { entryDone <- s.entry.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-entryDone; err != nil {
			t.Error(err)
		}
	})
	return s
}

func (s *system) tls() settings.TLS {
	files := s.authority.Write(s.t, s.t.TempDir())
	s.ca = files.CA
	return settings.TLS(files)
}

func (s *system) common(c settings.Common, role settings.Role, host core.HostID, listURL string) settings.Common {
	c.Role, c.Host, c.Zone, c.Hosts.URL = role, host, "olten", listURL+"/hosts"
	c.Operators = settings.Operators{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Token: testToken, TLS: s.tls()}
	c.Operators.TLS.CA = "" // operators authenticate with a token, not a certificate
	return c
}

// run runs a command line against the entry.
func (s *system) run(args ...string) (out, errOut string, status int) {
	s.t.Helper()
	var stdout, stderr bytes.Buffer
	args = append([]string{"nutmeglane"}, args...)
	err := Tool(&stdout, &stderr).Run(context.Background(), args)
	if err != nil {
		status = ExitCode(err)
		stderr.WriteString(err.Error())
	}
	return stdout.String(), stderr.String(), status
}

func (s *system) expect(wantStatus int, want string, args ...string) string {
	s.t.Helper()
	out, errOut, status := s.run(args...)
	if status != wantStatus || !strings.Contains(out+errOut, want) {
		s.t.Fatalf("nutmeglane %s: exit status %d, want %d and %q:\n%s%s", strings.Join(args, " "), status, wantStatus, want, out, errOut)
	}
	return out
}

// get sends a request to an operators' address and returns the HTTP status and the body.
func (s *system) get(address, path string, set func(*http.Request)) (int, string) {
	s.t.Helper()
	request, err := http.NewRequest(http.MethodGet, "https://"+address+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	set(request)
	// The commands verify the certificate; this request tests only tokens.
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

func declare(t *testing.T, text string) string {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "all.jsonc"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// Runs the operator commands against a system with TLS and a token at every address: apply,
// rollout, get, diff, a conflicting change, prune, dump and drain.
func TestOperatorWorkflow(t *testing.T) {
	s := startSystem(t)
	entry, agent := s.entry.Addresses.Operators.String(), s.agent.Addresses.Operators.String()
	t.Setenv("NUTMEGLANE_API", entry)
	t.Setenv("NUTMEGLANE_TOKEN", testToken)
	t.Setenv("NUTMEGLANE_CA", s.ca)
	dir := declare(t, declared)

	s.expect(0, "2 resources are valid", "validate", "-f", dir)
	s.expect(0, "dry run", "apply", "-f", dir, "--dry-run")
	s.expect(0, "revision 1", "apply", "-f", dir, "--wait")
	// The entry may not have read the host list yet: wait until it knows the agent.
	for known := 0; known < 2; {
		var rollout status.Rollout
		if err := json.Unmarshal([]byte(s.expect(0, "", "rollout", "status", "--wait", "-o", "json")), &rollout); err != nil {
			t.Fatal(err)
		}
		known = rollout.Known
	}
	s.expect(0, "revision 1 in force at 2 of 2 known daemons", "rollout", "status")
	s.expect(0, "no differences to revision 1", "diff", "-f", dir)
	// The entry sends requests to agents of a roster only: wait until the steward's lists it.
	described := "BackendsNotRostered"
	for strings.Contains(described, "BackendsNotRostered") {
		described = s.expect(0, "Available", "describe", "service", "akte")
	}
	if !strings.Contains(described, "BackendTakesRequests") {
		t.Fatalf("describe prints:\n%s", described)
	}
	s.expect(0, "akte", "get", "services")
	s.expect(ExitRefused, "does not exist", "get", "service", "absent")
	s.expect(ExitRefused, "unknown kind", "get", "robots")

	changed := declare(t, strings.Replace(declared, `"maxConcurrent": 4`, `"maxConcurrent": 5`, 1))
	if out := s.expect(ExitDiffers, "1 resources differ", "diff", "-f", changed); out != "updated Service/akte\n  spec.maxConcurrent: 4 -> 5\n" {
		t.Errorf("diff printed:\n%s", out)
	}
	stale := declare(t, strings.Replace(declared, `"name": "akte"`, `"name": "akte", "resourceVersion": 9`, 1))
	s.expect(ExitConflict, "metadata.resourceVersion: got 9, wanted the current 1", "apply", "-f", stale)
	s.expect(0, "deleted", "apply", "-f", declare(t, strings.SplitAfter(declared, "}},")[0]+"]"), "--prune", "--wait")

	s.checkAccessControl(entry, agent)
	s.checkMetrics(entry, "nutmeglane_config_revision 2", "nutmeglane_kv_reachable 1", "nutmeglane_config_peers_behind 0")
	s.checkMetrics(agent, "nutmeglane_config_revision 2", "nutmeglane_agent_requests_queued 0", "nutmeglane_agent_tenure_remaining_seconds")
	dump := s.expect(0, `"role": "agent"`, "dump", entry, agent)
	if strings.Contains(dump, testToken) || strings.Contains(dump, "PRIVATE") {
		t.Error("the dump holds a secret")
	}
	s.expect(0, "akte-1 is draining", "drain", agent, "--wait")
	if err := <-s.agentDone; err != nil {
		t.Errorf("drained agent: %v", err)
	}
	s.expect(ExitUnavailable, "can't reach", "drain", agent)
	t.Setenv("NUTMEGLANE_TOKEN", "wrong-token-of-somebody")
	s.expect(ExitRefused, "missing or wrong bearer token", "get", "services")
	t.Setenv("NUTMEGLANE_CA", certstest.New(t).Write(t, t.TempDir()).CA)
	s.expect(ExitFailure, "certificate signed by unknown authority", "get", "services")
}

// checkAccessControl requests paths with and without the token. A dump contains all state of
// a process, so it must be protected like the API.
func (s *system) checkAccessControl(entry, agent string) {
	s.t.Helper()
	basic := func(r *http.Request) { r.SetBasicAuth("anyone", testToken) }
	open := func(*http.Request) {}
	for _, endpoint := range []struct {
		address, path string
		guarded       bool
	}{
		{entry, "/metrics", false}, {entry, "/healthz", false}, {entry, "/readyz", false},
		{agent, "/metrics", false}, {agent, "/healthz", false}, {agent, "/readyz", false},
		{entry, "/", true}, {entry, "/debug/state", true}, {entry, "/apis/nutmeglane/v1/services", true}, {agent, "/debug/state", true},
	} {
		if got, _ := s.get(endpoint.address, endpoint.path, basic); got != http.StatusOK {
			s.t.Errorf("%s with the token: %d", endpoint.path, got)
		}
		want := http.StatusOK
		if endpoint.guarded {
			want = http.StatusUnauthorized
		}
		if got, _ := s.get(endpoint.address, endpoint.path, open); got != want {
			s.t.Errorf("%s without the token: %d, want %d", endpoint.path, got, want)
		}
	}
	if got, body := s.get(agent, "/admin/drain", open); got != http.StatusUnauthorized {
		s.t.Errorf("drain without a token: %d %s", got, body)
	}
	if got, _ := s.get(s.entry.Addresses.Callers.String(), "/v1/models", open); got != http.StatusUnauthorized {
		s.t.Errorf("callers' address over TLS: %d", got)
	}
	// A cross-site request: another site makes the operator's browser post a drain request.
	forged := func(r *http.Request) {
		basic(r)
		r.Method = http.MethodPost
		r.Header.Set("Sec-Fetch-Site", "cross-site")
	}
	if got, _ := s.get(agent, "/admin/drain", forged); got != http.StatusForbidden {
		s.t.Errorf("forged drain: %d", got)
	}
	if _, body := s.get(entry, "/", basic); !strings.Contains(body, "akte-1") {
		s.t.Errorf("the page does not contain the host:\n%s", body)
	}
}

func (s *system) checkMetrics(address string, want ...string) {
	s.t.Helper()
	_, body := s.get(address, "/metrics", func(*http.Request) {})
	for _, line := range want {
		if !strings.Contains(body, "\n"+line) {
			s.t.Errorf("%s lacks %q", address, line)
		}
	}
}
