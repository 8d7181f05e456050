// Package peers decides which connections an entry keeps to agents and when it redials.
// It is shared by the entry and steward parts, so that a host which both use is dialled
// once.
package peers

import (
	"math/rand/v2"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Reconnect windows. A dial after a lost connection waits a uniformly random time in the
// window (full jitter), and the window doubles with each failure. The first window is
// wide so that all entries that lose one agent, or all agents of a zone, do not dial at
// the same moment; it is wider still after a planned close (WebSocket code 1012), because
// the next process takes a while to start and the host is unusable meanwhile.
const (
	FirstWindow   = 500 * time.Millisecond
	PlannedWindow = 2 * time.Second
	MaxWindow     = 15 * time.Second
)

// Manager tracks the connections that the parts of one process have acquired.
type Manager struct {
	rand  *rand.Rand
	peers map[core.HostID]*peer
	// next is the earliest redialAt, cached so that Next costs nothing on the many events
	// that change no connection.
	next core.Time
	// collecting is set while the steward part requests reports from agents.
	collecting bool
}

// User is a bit set of the parts that use a connection.
type User uint8

// The users. A connection stays open as long as one of them uses it: a steward that
// leaves office must not close connections on which requests of the entry part run.
const (
	Entry User = 1 << iota
	Steward
)

type peer struct {
	users       User
	address     string
	up          bool
	dialling    bool
	incarnation core.Incarnation
	failures    int
	redialAt    core.Time
}

// New returns a manager that draws jitter from seed.
func New(seed uint64) *Manager {
	return &Manager{
		rand:  rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		peers: map[core.HostID]*peer{},
		next:  core.Never,
	}
}

// Acquire registers a user of the connection to a host at an address. It dials at once if
// the host is new or its address changed, and otherwise leaves the redial schedule
// unchanged.
func (m *Manager) Acquire(user User, host core.HostID, address string) []core.Effect {
	p := m.peers[host]
	if p == nil {
		p = &peer{redialAt: core.Never}
		m.peers[host] = p
	}
	p.users |= user
	if p.address == address && (p.up || p.dialling || p.redialAt != core.Never) {
		return nil
	}
	var effects []core.Effect
	if p.address != address && (p.up || p.dialling) {
		effects = append(effects, core.Hangup{Peer: host})
		p.up = false
	}
	p.address, p.failures = address, 0
	return append(effects, m.dial(host, p))
}

func (m *Manager) dial(host core.HostID, p *peer) core.Effect {
	p.dialling, p.redialAt = true, core.Never
	return core.Dial{Peer: host, Address: p.address}
}

// Release unregisters a user of the connection to a host and closes it after the last
// one.
func (m *Manager) Release(user User, host core.HostID) []core.Effect {
	p := m.peers[host]
	if p == nil {
		return nil
	}
	p.users &^= user
	if p.users != 0 {
		return nil
	}
	delete(m.peers, host)
	return []core.Effect{core.Hangup{Peer: host}}
}

// Redial replaces an open connection by a new one, whoever uses it.
func (m *Manager) Redial(host core.HostID) []core.Effect {
	p := m.peers[host]
	if p == nil || !p.up {
		return nil
	}
	p.up = false
	return []core.Effect{core.Hangup{Peer: host}, m.dial(host, p)}
}

// SetCollecting records whether the steward part requests reports from agents.
func (m *Manager) SetCollecting(collecting bool) { m.collecting = collecting }

// Collecting reports whether a Hello of this process requests reports. Both parts send
// Hello; a later one by the entry part without the request would end the reports.
func (m *Manager) Collecting() bool { return m.collecting }

// AcquiredBy reports whether the user has acquired a connection to the host.
func (m *Manager) AcquiredBy(user User, host core.HostID) bool {
	p := m.peers[host]
	return p != nil && p.users&user != 0
}

// Up reports whether a connection to the host is open.
func (m *Manager) Up(host core.HostID) bool {
	p := m.peers[host]
	return p != nil && p.up
}

// Incarnation returns the incarnation of the process last connected at the
// host, or zero.
func (m *Manager) Incarnation(host core.HostID) core.Incarnation {
	if p := m.peers[host]; p != nil {
		return p.incarnation
	}
	return 0
}

// Step implements core.Part. It must run on an event before the Steps of the parts that
// use the manager.
func (m *Manager) Step(now core.Time, event core.Event) []core.Effect {
	switch ev := event.(type) {
	case core.PeerUp:
		if p := m.peers[ev.Peer]; p != nil {
			p.up, p.dialling, p.failures = true, false, 0
			p.incarnation, p.redialAt = ev.Incarnation, core.Never
		}
	case core.PeerDown:
		if p := m.peers[ev.Peer]; p != nil {
			p.up, p.dialling = false, false
			p.redialAt = now.Add(m.backoff(p.failures, ev.Planned))
			p.failures++
			m.next = min(m.next, p.redialAt)
		}
	case core.Tick:
		return m.redial(now)
	}
	return nil
}

func (m *Manager) backoff(failures int, planned bool) time.Duration {
	window := MaxWindow
	if failures < 5 {
		window = min(FirstWindow<<failures, MaxWindow)
	}
	if planned {
		window = max(window, PlannedWindow)
	}
	return time.Duration(m.rand.Int64N(int64(window)))
}

func (m *Manager) redial(now core.Time) []core.Effect {
	if now < m.next {
		return nil
	}
	var effects []core.Effect
	m.next = core.Never
	for _, host := range core.SortedKeys(m.peers) {
		p := m.peers[host]
		if p.redialAt <= now {
			effects = append(effects, m.dial(host, p))
		}
		m.next = min(m.next, p.redialAt)
	}
	return effects
}

// Next implements core.Part. The result may be earlier than needed, never later.
func (m *Manager) Next() core.Time { return m.next }

// State is the state dump of one peer.
type State struct {
	Address     string           `json:"address"`
	Up          bool             `json:"up"`
	Dialling    bool             `json:"dialling,omitempty"`
	Incarnation core.Incarnation `json:"incarnation,omitempty"`
	Failures    int              `json:"failures,omitempty"`
}

// Dump implements core.Part.
func (m *Manager) Dump() any {
	dump := map[core.HostID]State{}
	for host, p := range m.peers {
		dump[host] = State{p.address, p.up, p.dialling, p.incarnation, p.failures}
	}
	return dump
}
