package settings

import (
	"net/netip"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Role tells which process the settings are for.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Settings is an *Entry, an *Agent, a *Router or a *Loader.
type Settings interface {
	// RoleName returns the role that the settings are for.
	RoleName() Role
	// OperatorsListen is where operators reach the process.
	OperatorsListen() netip.AddrPort
	check(c *checker)
}

// Common holds the fields that both roles have. Durations are written as
// strings such as "250ms", "10s" or "75m"; addresses are IP numbers.
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
	// Timings are the protocol's durations; all processes of a deployment
	// have the same.
	Timings Timings `json:"timings"`
	// Limits bound queues and buffers.
	Limits Limits `json:"limits"`
	// Log is the form of log lines.
	Log Log `json:"log"`
	// Record is a file to which events and effects are recorded for replay.
	// It holds request text. Default "": not recorded.
	Record string `json:"record"`
	// StopLimit is the longest graceful shutdown. Default 60s.
	StopLimit time.Duration `json:"stopLimit"`
}

// TLS names the PEM files of a listener or dialler. They are read again when
// they change, without a restart. Default: plain TCP.
type TLS struct {
	// Cert and Key are the certificate, with its chain, and its private key.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA holds the certificate authorities that must have signed the other
	// side's certificate. Between processes it is required with Cert; at the
	// callers' and operators' listeners it makes clients show a certificate.
	CA string `json:"ca"`
}

// RoleName implements Settings.
func (c *Common) RoleName() Role { return c.Role }

// OperatorsListen implements Settings.
func (c *Common) OperatorsListen() netip.AddrPort { return c.Operators.Listen }

// Entry holds the settings of an entry.
type Entry struct {
	Common
	// Callers is the callers' listener.
	Callers Callers `json:"callers"`
	// Peers is how the entry dials other processes of the system.
	Peers Dialler `json:"peers"`
	// KV is the platform's key-value service.
	KV KV `json:"kv"`
}

// Dialler is how an entry dials agents.
type Dialler struct {
	// TLS is the certificate that the entry shows to agents.
	TLS TLS `json:"tls"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Common
	// Peers is the listener for other processes of the system.
	Peers Peers `json:"peers"`
	// Backend is the backend server beside the agent.
	Backend Backend `json:"backend"`
}

// Callers is the listener for callers' requests.
type Callers struct {
	// Listen is "IP:port". Port 0 picks a free one. Required.
	Listen netip.AddrPort `json:"listen"`
	// MaxBodyBytes limits a request's body. Default 1 MiB.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MaxAnswerBytes limits a completion that is not streamed, which is held
	// in memory until it is whole. Default 4 MiB.
	MaxAnswerBytes int64 `json:"maxAnswerBytes"`
	// DefaultTimeout applies without a Request-Timeout header. Default 30s.
	DefaultTimeout time.Duration `json:"defaultTimeout"`
	// MaxTimeout is the longest Request-Timeout. Default 10m, at most 1h.
	MaxTimeout time.Duration `json:"maxTimeout"`
	// StopDelay is how long an entry that stops, and has said so at /readyz,
	// still takes new requests. It is above the balancer's time between two
	// checks, and above the time that callers keep idle connections. It is a
	// part of StopLimit. Default 2s.
	StopDelay time.Duration `json:"stopDelay"`
	TLS       TLS           `json:"tls"`
}

// Operators is the listener for the resource API, metrics and state dumps.
type Operators struct {
	// Listen is "IP:port". Port 0 picks a free one. Required.
	Listen netip.AddrPort `json:"listen"`
	// Token is the operators' bearer token, 16 bytes or more. Default "": no
	// token is asked for, which is allowed on a loopback address only.
	Token string `json:"token"`
	TLS   TLS    `json:"tls"`
}

// Peers is the listener for other processes of the system.
type Peers struct {
	// Listen is "IP:port". Port 0 picks a free one. Required.
	Listen netip.AddrPort `json:"listen"`
	// Advertise is the "IP:port" that others dial. Default Listen.
	Advertise netip.AddrPort `json:"advertise"`
	// UpgradeRate is the number of new connections accepted per second;
	// more are refused early with TooManyUpgrades. Default 50.
	UpgradeRate float64 `json:"upgradeRate"`
	// UpgradeBurst is the number accepted at once. Default 100.
	UpgradeBurst int `json:"upgradeBurst"`
	// TLS is the certificate that the agent shows to entries. With it, an entry
	// without a certificate signed by the CA gives no orders.
	TLS TLS `json:"tls"`
}

// KV is the platform's key-value service.
type KV struct {
	// URL is its base URL with an IP number. Required.
	URL string `json:"url"`
	// Timeout bounds one call, but for the wait of a watch. Default 2s.
	Timeout time.Duration `json:"timeout"`
}

// Hosts is the platform's host list.
type Hosts struct {
	// URL is its URL with an IP number. Required.
	URL string `json:"url"`
	// Interval is the time between two reads. Default 5s.
	Interval time.Duration `json:"interval"`
}

// Backend is the backend server beside an agent.
type Backend struct {
	// Kind is "engine" or "service". Required.
	Kind core.BackendKind `json:"kind"`
	// URL is its base URL with an IP number. Required.
	URL string `json:"url"`
	// Service is the declared name of a plain service. Required for kind
	// "service", absent for "engine".
	Service string `json:"service"`
}

// Timings are core.Timings; see there for meanings and defaults.
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

// Core returns the timings in the reducer's form.
func (t Timings) Core() core.Timings { return core.Timings(t) }

// Limits bound queues and buffers.
type Limits struct {
	// QueueLength is the number of requests that wait at once. Default 1000.
	QueueLength int `json:"queueLength"`
	// QueueBytes is the memory of the bodies that wait. Default 16 MiB.
	QueueBytes int64 `json:"queueBytes"`
	// StreamWindow is the number of data frames of one answer on their way
	// between backend server and caller. Default 32.
	StreamWindow int `json:"streamWindow"`
}

// Log is the form of log lines.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `json:"level"`
	// Format is "json" or "text". Default "json".
	Format string `json:"format"`
}
