package settings

import (
	"net/netip"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Role is the kind of process that the settings are for.
type Role string

// The roles of entries and agents.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Settings is an *Entry, an *Agent, a *Router or a *Loader.
type Settings interface {
	// RoleName returns the role that the settings are for.
	RoleName() Role
	// OperatorsListen returns the address of the operators' listener.
	OperatorsListen() netip.AddrPort
	check(c *checker)
}

// Common holds the fields common to entries and agents. Durations are written as
// strings such as "250ms", "10s" or "75m". Addresses are IP addresses, not names.
type Common struct {
	// Role is "entry" or "agent". Required.
	Role Role `json:"role"`
	// Host is the host's name, as in the platform's host list. Required.
	Host core.HostID `json:"host"`
	// Zone is the host's availability zone. Required.
	Zone core.Zone `json:"zone"`
	// Operators is the operators' listener.
	Operators Operators `json:"operators"`
	// Hosts is the platform's host list.
	Hosts Hosts `json:"hosts"`
	// Timings are the durations of the protocol. They must be the same in all
	// processes of a deployment.
	Timings Timings `json:"timings"`
	// Limits limit queues and buffers.
	Limits Limits `json:"limits"`
	// Log configures log lines.
	Log Log `json:"log"`
	// Record is the file to which events and effects are recorded for replay.
	// It contains request text. Default "": not recorded.
	Record string `json:"record"`
	// StopLimit is the maximum duration of a graceful shutdown. Default 60s.
	StopLimit time.Duration `json:"stopLimit"`
}

// TLS names the PEM files of a listener or dialler. They are reloaded when they
// change, without a restart. Default: plain TCP.
type TLS struct {
	// Cert and Key are the certificate, with its chain, and its private key.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA is the file of the certificate authorities that must have signed the
	// peer's certificate. Between processes it is required with Cert. At the
	// callers' and operators' listeners it makes client certificates mandatory.
	CA string `json:"ca"`
}

// RoleName implements Settings.
func (c *Common) RoleName() Role { return c.Role }

// OperatorsListen implements Settings.
func (c *Common) OperatorsListen() netip.AddrPort { return c.Operators.Listen }

// Entry holds the settings of an entry.
type Entry struct {
	Common
	// MemoryMB is the memory limit of the process, of which the bodies of requests get
	// a part. Default 0: unknown.
	MemoryMB float64 `json:"memoryMB"`
	// Descriptors is the number of file descriptors of the process, of which callers'
	// connections get a part. Default 0: as the operating system limits them.
	Descriptors float64 `json:"descriptors"`
	// Callers is the callers' listener.
	Callers Callers `json:"callers"`
	// Peers configures connections to agents.
	Peers Dialler `json:"peers"`
	// KV is the platform's key-value service.
	KV KV `json:"kv"`
}

// Dialler configures the connections of an entry to agents.
type Dialler struct {
	// TLS is the certificate that the entry presents to agents.
	TLS TLS `json:"tls"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Common
	// Peers is the listener for other processes of the system.
	Peers Peers `json:"peers"`
	// Backend is the backend server that the agent manages.
	Backend Backend `json:"backend"`
}

// Callers is the listener for callers' requests.
type Callers struct {
	// Listen is "IP:port". Port 0 picks a free one. Required.
	Listen netip.AddrPort `json:"listen"`
	// MaxBodyBytes limits a request's body. Default 1 MiB.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MaxAnswerBytes limits a completion that is not streamed, which is
	// buffered in memory until it is complete. Default 4 MiB.
	MaxAnswerBytes int64 `json:"maxAnswerBytes"`
	// DefaultTimeout applies to requests without a Request-Timeout header. Default 30s.
	DefaultTimeout time.Duration `json:"defaultTimeout"`
	// MaxTimeout is the maximum Request-Timeout. Default 10m, at most 1h.
	MaxTimeout time.Duration `json:"maxTimeout"`
	// StopDelay is how long a stopping entry, whose /readyz already reports not
	// ready, still accepts new requests. It should be longer than the interval of
	// the load balancer's checks and than the time for which callers keep idle
	// connections. It is part of StopLimit. Default 2s.
	StopDelay time.Duration `json:"stopDelay"`
	TLS       TLS           `json:"tls"`
}

// Operators is the listener for the resource API, metrics and state dumps.
type Operators struct {
	// Listen is "IP:port". Port 0 picks a free one. Required.
	Listen netip.AddrPort `json:"listen"`
	// Token is the operators' bearer token of at least 16 bytes. Default "": no
	// token is required, which is allowed only on a loopback address.
	Token string `json:"token"`
	TLS   TLS    `json:"tls"`
}

// Peers is the listener for other processes of the system.
type Peers struct {
	// Listen is "IP:port". Port 0 picks a free one. Required.
	Listen netip.AddrPort `json:"listen"`
	// Advertise is the "IP:port" that others dial. Default Listen.
	Advertise netip.AddrPort `json:"advertise"`
	// UpgradeRate is the number of new connections accepted per second. Others
	// are refused before the upgrade with TooManyUpgrades. Default 50.
	UpgradeRate float64 `json:"upgradeRate"`
	// UpgradeBurst is the number of new connections accepted at once. Default 100.
	UpgradeBurst int `json:"upgradeBurst"`
	// TLS is the certificate that the agent presents to entries. If it is set, the
	// agent accepts orders only from entries whose certificate the CA signed.
	TLS TLS `json:"tls"`
}

// KV is the platform's key-value service.
type KV struct {
	// URL is its base URL with an IP address. Required.
	URL string `json:"url"`
	// Timeout limits one call, except a waiting watch. Default 2s.
	Timeout time.Duration `json:"timeout"`
}

// Hosts is the platform's host list.
type Hosts struct {
	// URL is its URL with an IP address. Required.
	URL string `json:"url"`
	// Interval is the polling interval. Default 5s.
	Interval time.Duration `json:"interval"`
}

// Backend is the backend server of an agent.
type Backend struct {
	// Kind is "engine" or "service". Required.
	Kind core.BackendKind `json:"kind"`
	// URL is its base URL with an IP address. Required.
	URL string `json:"url"`
	// Service is the declared name of a plain service. Required for kind
	// "service", not allowed for "engine".
	Service string `json:"service"`
}

// Timings are the fields of core.Timings, which documents them and their defaults.
type Timings struct {
	Tenure         time.Duration `json:"tenure"`
	TenureMargin   time.Duration `json:"tenureMargin"`
	UnloadLead     time.Duration `json:"unloadLead"`
	OrderValidity  time.Duration `json:"orderValidity"`
	ReportInterval time.Duration `json:"reportInterval"`
	RosterInterval time.Duration `json:"rosterInterval"`
	StewardLease   time.Duration `json:"stewardLease"`
	Grace          time.Duration `json:"grace"`
	PingInterval   time.Duration `json:"pingInterval"`
}

// Core returns the timings as core.Timings.
func (t Timings) Core() core.Timings { return core.Timings(t) }

// Limits limits queues and buffers.
type Limits struct {
	// QueueLength is the maximum number of queued requests. Default 1000.
	QueueLength int `json:"queueLength"`
	// QueueBytes is the maximum memory of the bodies of queued requests. Default
	// 16 MiB.
	QueueBytes int64 `json:"queueBytes"`
	// StreamWindow is the maximum number of data frames of one response in
	// flight between backend server and caller. Default 32.
	StreamWindow int `json:"streamWindow"`
}

// Log configures log lines.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `json:"level"`
	// Format is "json" or "text". Default "json".
	Format string `json:"format"`
}
