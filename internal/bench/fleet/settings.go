package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/settings"
)

// freePort makes a daemon listen on a free port, which it logs.
const freePort = "127.0.0.1:0"

// settingsMode restricts access to a settings file to its owner.
const settingsMode = 0o600

type listener struct {
	Listen string `json:"listen"`
}

type address struct {
	URL string `json:"url"`
}

type backend struct {
	Kind core.BackendKind `json:"kind"`
	URL  string           `json:"url"`
}

// settingsFile is the JSON form of a daemon's settings file. Settings that it
// lacks have their defaults.
type settingsFile struct {
	Role      settings.Role `json:"role"`
	Host      string        `json:"host"`
	Zone      core.Zone     `json:"zone"`
	Operators listener      `json:"operators"`
	Hosts     address       `json:"hosts"`
	StopLimit string        `json:"stopLimit"`
	Callers   *listener     `json:"callers,omitempty"`
	KV        *address      `json:"kv,omitempty"`
	Peers     *listener     `json:"peers,omitempty"`
	Backend   *backend      `json:"backend,omitempty"`
}

func (f *Fleet) commonSettings(role settings.Role, host string, zone core.Zone) settingsFile {
	return settingsFile{
		Role: role, Host: host, Zone: zone, Operators: listener{freePort},
		Hosts: address{f.Platform.hostsServer.URL() + "/hosts"}, StopLimit: "2s",
	}
}

func (f *Fleet) writeSettings(s settingsFile) (string, error) {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", errors.Wrap(err, "encode settings")
	}
	file := filepath.Join(f.directory, s.Host+".json")
	return file, errors.Wrap(os.WriteFile(file, data, settingsMode), "write settings")
}
