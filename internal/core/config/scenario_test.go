package config

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// TestScenarios runs the scripts of testdata/scenarios. The commands of a script:
//
//	start HOST...             start processes; hosts named e* call the KV service
//	connect A B, cut A B      make or break a connection
//	apply HOST ID CHANGE...   post a change: MODEL=MEMORY[@RESOURCEVERSION]
//	                          declares (with ! after MEMORY as batch), -MODEL
//	                          deletes; ADAPTER:MODEL, -ADAPTER:; dryrun, prune
//	kv FAULT...               down, up, wipe, down-after=WRITES, late (a lost
//	                          write arrives), lose-head=taken|untaken|taken-down
//	damage kv|HEAD|HOST       damage the KV's chunks, its head, or the chunks HOST sends
//	mute HOST                 drop what HOST sends, except announcements
//	run, trace                deliver all events; trace prints messages
//	advance DURATION          let time pass
//	state                     print what is in force where, and new KV reads
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		w := newFixture()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			for line := range strings.Lines(d.Input) {
				words := strings.Fields(line)
				if err := w.command(words[0], words[1:]); err != nil {
					t.Fatalf("%s: %s: %v", d.Pos, line, err)
				}
			}
			out := w.log.String()
			w.log.Reset()
			return out
		})
	})
}

func (w *fixture) command(name string, args []string) error {
	var host []core.HostID
	for _, a := range args {
		host = append(host, core.HostID(a))
	}
	switch name {
	case "start":
		for _, h := range host {
			w.start(h, strings.HasPrefix(string(h), "e"))
		}
	case "connect", "cut":
		w.connect(host[0], host[1], name == "connect")
	case "apply":
		w.post(host[0], changeOf(args[1:]))
	case "kv":
		return w.fault(args)
	case "damage":
		w.damage(args[0])
	case "mute":
		w.nodes[host[0]].mute = true
	case "run", "trace":
		w.trace = name == "trace"
		w.run()
	case "advance":
		duration, err := time.ParseDuration(args[0])
		w.advance(duration)
		return err
	case "state":
		w.state()
	default:
		return fmt.Errorf("unknown command %s", name)
	}
	return nil
}

func (w *fixture) fault(args []string) error {
	kv := &w.kv
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "down":
			kv.down = true
		case "up":
			w.kvUp()
		case "wipe":
			kv.entries = map[string]kvEntry{}
		case "late":
			w.deliverLateWrite()
		case "down-after":
			kv.downAfter, _ = strconv.Atoi(value)
		case "lose-head":
			kv.loseHead, kv.headTakesEffect, kv.lostThenDown = true, value != "untaken", value == "taken-down"
		default:
			return fmt.Errorf("unknown fault %s", name)
		}
	}
	return nil
}

func (w *fixture) damage(what string) {
	if n := w.nodes[core.HostID(what)]; n != nil {
		n.corrupts = true
		return
	}
	for _, key := range core.SortedKeys(w.kv.entries) {
		if (key == core.KeyConfigHead) == (what == "HEAD") {
			entry := w.kv.entries[key]
			entry.value = damaged(entry.value)
			w.kv.entries[key] = entry
		}
	}
}

// state logs one line for each configuration in force: its revision, and each
// model's memory, generation and resourceVersion.
func (w *fixture) state() {
	inForce, reads := map[string]string{}, ""
	for _, host := range core.SortedKeys(w.nodes) {
		n := w.nodes[host]
		line := "none"
		if n.snapshot != nil {
			line = fmt.Sprintf("revision %d:", n.snapshot.Revision)
			for _, name := range n.snapshot.Names(api.KindModel) {
				m := n.snapshot.Models[name]
				line += fmt.Sprintf(" %s=%d g%d v%d", name, m.Spec.MemoryMiB, m.Metadata.Generation, m.Metadata.ResourceVersion)
			}
		}
		inForce[line] += string(host) + " "
		reads += fmt.Sprintf(" %s=%d", host, n.reads)
		n.reads = 0
	}
	for _, line := range core.SortedKeys(inForce) {
		w.logf("%s%s", inForce[line], line)
	}
	w.logf("kv reads:%s", reads)
}

func changeOf(args []string) core.ApplyRequested {
	id, _ := strconv.ParseUint(args[0], 10, 64)
	change := core.ApplyRequested{ID: id}
	var resources []api.Resource
	for _, arg := range args[1:] {
		name, value, declares := strings.Cut(arg, "=")
		switch {
		case arg == "dryrun":
			change.DryRun = true
		case arg == "prune":
			change.Prune = true
		case declares:
			memory, version, _ := strings.Cut(value, "@")
			resources = append(resources, modelResource(name, memory, version))
		case strings.HasSuffix(arg, ":"):
			key := api.Key{Kind: api.KindAdapter, Name: strings.Trim(arg, "-:")}
			change.Delete = append(change.Delete, core.ConfigDeletion{Key: key})
		case strings.Contains(arg, ":"):
			resources = append(resources, adapterResource(strings.Cut(arg, ":")))
		default:
			key := api.Key{Kind: api.KindModel, Name: strings.TrimPrefix(arg, "-")}
			change.Delete = append(change.Delete, core.ConfigDeletion{Key: key})
		}
	}
	change.Resources, _ = api.EncodeDocument(resources)
	return change
}

func adapterResource(name, base string, _ bool) api.Resource {
	spec := &api.AdapterSpec{Base: base, Version: "1", MemoryMiB: 1, Replicas: api.ReplicaLimits{Max: 1}}
	return api.Resource{APIVersion: api.Version, Kind: api.KindAdapter, Metadata: api.Metadata{Name: name}, Spec: spec}
}

func modelResource(name, memory, version string) api.Resource {
	spec := &api.ModelSpec{Version: "1", CheckpointMiB: 1, Replicas: api.ReplicaLimits{Max: 1}, MaxConcurrent: 1}
	memory, batch := strings.CutSuffix(memory, "!")
	if batch {
		spec.Priority = api.PriorityBatch
	}
	spec.MemoryMiB, _ = strconv.ParseInt(memory, 10, 64)
	r := api.Resource{APIVersion: api.Version, Kind: api.KindModel, Metadata: api.Metadata{Name: name}, Spec: spec}
	r.Metadata.ResourceVersion, _ = strconv.ParseInt(version, 10, 64)
	return r
}
