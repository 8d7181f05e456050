package certs_test

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/certs"
	"nutmeglane.example/nutmeglane/internal/certs/certstest"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/wire"
)

func load(t *testing.T, files certs.Files) *certs.Source {
	t.Helper()
	source, err := certs.Load(files, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// agent starts a listener that accepts connections of entries with the given certificates.
// The channel receives the events for its reducer.
func agent(t *testing.T, files certs.Files) (address string, events chan core.Event) {
	t.Helper()
	events = make(chan core.Event, 100)
	node := wire.New(wire.Options{Host: "agent", Incarnation: 1, PingInterval: time.Hour}, func(e core.Event) { events <- e })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: node.Handler(), ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	go func() { _ = server.Serve(tls.NewListener(listener, load(t, files).Server())) }()
	t.Cleanup(func() { closeNode(node); _ = server.Close() })
	return listener.Addr().String(), events
}

func closeNode(node *wire.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = node.Close(ctx)
}

// dial connects as an entry and returns the resulting event.
func dial(t *testing.T, address string, config func() *tls.Config) core.Event {
	t.Helper()
	events := make(chan core.Event, 100)
	node := wire.New(wire.Options{Host: "entry", Incarnation: 2, PingInterval: time.Hour, TLS: config}, func(e core.Event) { events <- e })
	t.Cleanup(func() { closeNode(node) })
	node.Do(core.Dial{Peer: "agent", Address: address})
	return <-events
}

// A client without a certificate of the deployment connects to an agent as an entry. If the
// agent accepted the connection, it would accept orders to run requests and release slots.
func TestUntrustedPeerIsRefused(t *testing.T) {
	ours, foreign := certstest.New(t), certstest.New(t)
	address, seen := agent(t, ours.Write(t, t.TempDir()))
	trusted := load(t, ours.Write(t, t.TempDir()))
	untrusted := load(t, foreign.Write(t, t.TempDir()))
	for name, config := range map[string]func() *tls.Config{
		"no TLS": nil,
		"no certificate": func() *tls.Config {
			c := trusted.Client()
			c.Certificates = nil
			return c
		},
		"foreign certificate": func() *tls.Config {
			c := untrusted.Client()
			c.RootCAs = trusted.Client().RootCAs // otherwise the client would refuse the agent
			return c
		},
		"agent is foreign to it": untrusted.Client,
	} {
		if event, down := dial(t, address, config).(core.PeerDown); !down {
			t.Errorf("%s: got %T", name, event)
		}
	}
	if len(seen) != 0 {
		t.Errorf("the agent received %T", <-seen)
	}
	if event := dial(t, address, trusted.Client); event != (core.PeerUp{Peer: "agent", Incarnation: 1}) {
		t.Errorf("own certificate: got %#v", event)
	}
	if event := <-seen; event != (core.PeerUp{Peer: "entry", Incarnation: 2}) {
		t.Errorf("the agent received %#v", event)
	}
}

// The certificates and the authority of a deployment are replaced while its processes run.
// Without a reload, every new connection fails once the old certificates expire. A reload
// between the replacement of two files finds a mismatched pair, which must not interrupt
// service.
func TestReload(t *testing.T) {
	before, after := certstest.New(t), certstest.New(t)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	serverFiles := before.Write(t, serverDir)
	address, _ := agent(t, serverFiles)
	client := load(t, before.Write(t, clientDir))
	up := core.PeerUp{Peer: "agent", Incarnation: 1}
	expect := func(step string, want core.Event) {
		t.Helper()
		if got := dial(t, address, client.Client); got != want {
			t.Errorf("%s: got %#v, want %#v", step, got, want)
		}
	}
	expect("at first", up)

	if err := os.WriteFile(serverFiles.Key, []byte("half a key"), 0o600); err != nil {
		t.Fatal(err)
	}
	expect("half replaced", up)

	after.Write(t, serverDir)
	expect("server replaced, client not", core.PeerDown{Peer: "agent"})
	after.Write(t, clientDir)
	expect("both replaced", up)
}

func TestLoadRefuses(t *testing.T) {
	files := certstest.New(t).Write(t, t.TempDir())
	mismatched := files
	mismatched.Key = certstest.New(t).Write(t, t.TempDir()).Key
	empty := files
	empty.CA = files.Key
	absent := files
	absent.Cert = "absent.pem"
	for name, files := range map[string]certs.Files{"key of another": mismatched, "no authority": empty, "no file": absent} {
		if _, err := certs.Load(files, slog.New(slog.DiscardHandler)); err == nil {
			t.Errorf("%s: loaded", name)
		}
	}
	if source, err := certs.Load(certs.Files{}, nil); source != nil || err != nil {
		t.Error("Load without files returned a source")
	}
}
