package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// largeConfig returns a configuration as large as that of the largest known deployment.
func largeConfig() *Config {
	engine := &Engine{Slots: 128, KVTokens: 149656, MemoryMB: 83000, AdapterSlots: 8, StoreLoadsPerSecond: 30, Models: map[string]Model{}}
	for i := range 184 {
		name := fmt.Sprintf("model%08x", i*7919)
		engine.Models[name] = Model{Name: name, MemoryMB: 34300, StoreLoad: 10200 * time.Millisecond, DiskLoad: time.Second, HostLoad: 780 * time.Millisecond, AdapterMB: 40}
	}
	config := &Config{Version: 7, Services: map[string]*Service{"s": {Name: "s", MaxConns: 740, Engine: engine}}}
	for i := range 45 {
		config.Routes = append(config.Routes, Route{
			Name: fmt.Sprintf("r-%07x", i*104729), Host: "callers.example", Prefix: fmt.Sprintf("/p%05x/", i*7919),
			Targets: []Target{{Service: "s", Weight: 1}}, Kind: Stream, Timeout: 10 * time.Second, MaxAttempts: 2,
		})
	}
	for i := range 16 {
		config.Accounts = append(config.Accounts, Account{
			Name: fmt.Sprintf("account%d", i), Keys: []KeyDigest{DigestKey(fmt.Sprint("key", i)), DigestKey(fmt.Sprint("other", i))},
			Priority: 1, Unit: UnitTokens, PlainTokens: 200, Rate: 18000, Burst: 18000,
		})
	}
	return config
}

func TestConfigRoundTrip(t *testing.T) {
	config := largeConfig()
	data, err := EncodeConfig(config)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeConfig(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(config, got); diff != "" {
		t.Error(diff)
	}
	if strings.Contains(string(data), "key1") {
		t.Error("the encoded configuration contains a key")
	}
	t.Logf("%d bytes", len(data))
}

// Guards against a configuration that broke off and counts as one without the rest of its routes.
func TestCutConfigIsRefused(t *testing.T) {
	config := largeConfig()
	config.Routes = config.Routes[:3]
	data, err := EncodeConfig(config)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range data {
		if got, err := DecodeConfig(data[:cut]); err == nil {
			t.Fatalf("the first %d of %d bytes give %+v", cut, len(data), got)
		}
	}
}

// A process of another release, or a faulty one, sends data that is not a configuration.
// Decoding must return an error and must not use up the process's memory.
func FuzzDecodeConfig(f *testing.F) {
	good, err := EncodeConfig(largeConfig())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		if config, err := DecodeConfig(data); (config == nil) != (err != nil) {
			t.Fatal("neither a configuration nor an error, or both")
		}
	})
}
