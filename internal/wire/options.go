package wire

import (
	"crypto/tls"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/defaults"
)

// Defaults of Options.
const (
	DefaultPingInterval = 2 * time.Second
	DefaultDialTimeout  = 3 * time.Second
	DefaultUpgradeRate  = rate.Limit(200)
	DefaultUpgradeBurst = 100
	DefaultMaxMessage   = 4 << 20
	DefaultMaxQueue     = 16 << 20
)

// unansweredIntervals is the number of ping intervals without a pong after
// which a connection counts as silent.
const unansweredIntervals = 3

// closeTimeout bounds writing out the queue and the closing handshake of a
// connection that is closed in an orderly way.
const closeTimeout = 2 * time.Second

// Options configures a Node. Zero fields, but Host and Incarnation, have
// defaults.
type Options struct {
	// Host and Incarnation identify this process to its peers.
	Host        core.HostID
	Incarnation core.Incarnation
	// PingInterval is the pause between two pings on a connection, by the end that
	// dialled it; the other end pings when it hears nothing. A silent connection is
	// found within unansweredIntervals+1 intervals.
	PingInterval time.Duration
	// PingRate, if not 0, bounds the pings per second on all connections together:
	// beyond it the pause grows with their number, and the time in which a silent
	// connection is found with it.
	PingRate float64
	// DialTimeout bounds a dial, with the handshake.
	DialTimeout time.Duration
	// UpgradeRate (per second) and UpgradeBurst are the token bucket of
	// accepted connections.
	UpgradeRate  rate.Limit
	UpgradeBurst int
	// MaxMessage bounds one encoded message, in bytes. It must be the same at
	// all processes, and above the largest request body with its headers.
	MaxMessage int
	// MaxQueue bounds the bytes that wait on one connection.
	MaxQueue int
	// TLS, if set, returns the configuration of one dial, so that certificates
	// can be replaced; the accepting side's belongs to the http.Server that the
	// Handler is mounted on.
	TLS func() *tls.Config
	// Metrics and Log may be nil.
	Metrics Metrics
	Log     *slog.Logger
}

// Metrics receives measurements. Its methods are called from many goroutines.
type Metrics interface {
	// BytesIn and BytesOut count bytes on TCP connections, with all framing.
	BytesIn(n int)
	BytesOut(n int)
	// Connections adds to the number of established connections.
	Connections(delta int)
	// UpgradeRefused counts connections refused by the token bucket.
	UpgradeRefused()
	// BadMessage counts connections closed for a message that can't be
	// decoded.
	BadMessage()
	// StuckPeer counts connections closed because the queue was full.
	StuckPeer()
}

type noMetrics struct{}

func (noMetrics) BytesIn(int)     {}
func (noMetrics) BytesOut(int)    {}
func (noMetrics) Connections(int) {}
func (noMetrics) UpgradeRefused() {}
func (noMetrics) BadMessage()     {}
func (noMetrics) StuckPeer()      {}

// pingPause is the pause between two pings on each of so many connections.
func (o Options) pingPause(connections int) time.Duration {
	if o.PingRate <= 0 {
		return o.PingInterval
	}
	return max(o.PingInterval, time.Duration(float64(connections)/o.PingRate*float64(time.Second)))
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.PingInterval, DefaultPingInterval)
	defaults.Set(&o.DialTimeout, DefaultDialTimeout)
	defaults.Set(&o.UpgradeRate, DefaultUpgradeRate)
	defaults.Set(&o.UpgradeBurst, DefaultUpgradeBurst)
	defaults.Set(&o.MaxMessage, DefaultMaxMessage)
	defaults.Set(&o.MaxQueue, DefaultMaxQueue)
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}
