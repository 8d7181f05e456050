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
	DefaultDialTimeout  = 3 * time.Second
	DefaultUpgradeRate  = rate.Limit(200)
	DefaultUpgradeBurst = 100
	DefaultMaxMessage   = 4 << 20
	DefaultMaxQueue     = 16 << 20
)

// maxUnansweredIntervals is the number of ping intervals without a pong after
// which a connection is regarded as lost.
const maxUnansweredIntervals = 3

// closeTimeout bounds the time to write the queue of a connection that is closed by
// a Hangup, and the time of a closing handshake.
const closeTimeout = 2 * time.Second

// Options configures a Node. Host and Incarnation are required; all other fields may
// be left at their zero value.
type Options struct {
	// Host and Incarnation identify this process to its peers.
	Host        core.HostID
	Incarnation core.Incarnation
	// PingInterval is the time between two pings on a connection by the end that
	// dialled it. The other end pings only if it receives nothing. A lost connection
	// is detected within maxUnansweredIntervals+1 intervals.
	PingInterval time.Duration
	// PingRate, if not 0, bounds the pings per second on all connections together.
	// With many connections the time between two pings grows with their number, and
	// so does the time to detect a lost connection.
	PingRate float64
	// DialTimeout bounds a dial, including the handshake.
	DialTimeout time.Duration
	// UpgradeRate (per second) and UpgradeBurst configure the token bucket that
	// limits accepted connections.
	UpgradeRate  rate.Limit
	UpgradeBurst int
	// MaxMessage bounds one encoded message, in bytes. It must be the same in all
	// processes and exceed the largest request body with its headers.
	MaxMessage int
	// MaxQueue bounds the bytes queued on one connection.
	MaxQueue int
	// TLS, if set, is called for the configuration of each dial, so that
	// certificates can be replaced. The configuration of the accepting side belongs
	// to the http.Server that serves the Handler.
	TLS func() *tls.Config
	// Metrics and Log may be nil.
	Metrics Metrics
	Log     *slog.Logger
}

// Metrics receives measurements. Its methods may be called from any goroutine.
type Metrics interface {
	// BytesIn and BytesOut count bytes on TCP connections, including all framing.
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

// pingDelay returns the time between two pings on each connection, given the number
// of connections.
func (o Options) pingDelay(connections int) time.Duration {
	if o.PingRate <= 0 {
		return o.PingInterval
	}
	return max(o.PingInterval, time.Duration(float64(connections)/o.PingRate*float64(time.Second)))
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.PingInterval, core.DefaultTimings().PingInterval)
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
