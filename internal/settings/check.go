package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Bounds of the checks.
const (
	minTimeout      = 50 * time.Millisecond
	maxTimeout      = time.Hour
	minTokenBytes   = 16
	maxStreamWindow = 4096
	maxBytes        = 1 << 30
	// reportsPerTenure is the number of consecutive reports that may be lost
	// before an agent has to unload.
	reportsPerTenure = 4
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

const nameWanted = "1 to 63 lower-case letters, digits, '-' and '.'"

// require reports a problem unless ok. A field for which a problem was reported
// before, such as one that could not be parsed, is skipped.
func (c *checker) require(ok bool, field string, got any, wanted string) {
	if !ok && !c.reported[field] {
		c.report(field, c.lines[field], fmt.Sprint(got), wanted)
	}
}

func (c *checker) name(field, got string) {
	c.require(namePattern.MatchString(got), field, quote(got), nameWanted)
}

func (c *checker) positive(field string, got time.Duration) {
	c.require(got > 0, field, got, "more than 0")
}

func (c *checker) listen(field string, got netip.AddrPort) {
	c.require(got.IsValid(), field, "nothing", `"IP:port"`)
}

// baseURL checks that the host of a URL is an IP address, because processes do not
// resolve host names.
func (c *checker) baseURL(field, got string) {
	const wanted = `"http://IP:port" or "https://IP:port", with an optional path`
	parsed, err := url.Parse(got)
	if err != nil {
		c.require(false, field, quote(got), wanted)
		return
	}
	_, err = netip.ParseAddrPort(parsed.Host)
	scheme := parsed.Scheme == "http" || parsed.Scheme == "https"
	plain := parsed.User == nil && parsed.RawQuery == "" && parsed.Fragment == ""
	c.require(err == nil && scheme && plain, field, quote(parsed.Redacted()), wanted)
}

func (s *Entry) check(c *checker) {
	s.Common.check(c)
	callers := s.Callers
	callers.TLS.check(c, "callers.tls", false)
	c.require(s.MemoryMB >= 0, "memoryMB", s.MemoryMB, "0 or more")
	c.require(s.Descriptors >= 0, "descriptors", s.Descriptors, "0 or more")
	s.Peers.TLS.check(c, "peers.tls", true)
	c.listen("callers.listen", callers.Listen)
	c.bytes("callers.maxBodyBytes", callers.MaxBodyBytes)
	c.bytes("callers.maxAnswerBytes", callers.MaxAnswerBytes)
	c.require(callers.MaxTimeout >= minTimeout && callers.MaxTimeout <= maxTimeout,
		"callers.maxTimeout", callers.MaxTimeout, "50ms to 1h")
	c.require(callers.DefaultTimeout >= minTimeout && callers.DefaultTimeout <= callers.MaxTimeout,
		"callers.defaultTimeout", callers.DefaultTimeout, "50ms to callers.maxTimeout")
	c.require(callers.StopDelay >= 0 && callers.StopDelay <= s.StopLimit,
		"callers.stopDelay", callers.StopDelay, "0 to stopLimit")
	c.baseURL("kv.url", s.KV.URL)
	c.positive("kv.timeout", s.KV.Timeout)
	c.require(s.KV.Timeout < s.Timings.StewardLease, "kv.timeout", s.KV.Timeout,
		"less than timings.stewardLease, or the steward can't renew after one lost call")
}

func (s *Agent) check(c *checker) {
	s.Common.check(c)
	s.checkPeers(c)
	c.baseURL("backend.url", s.Backend.URL)
	switch s.Backend.Kind {
	case core.BackendEngine:
		c.require(s.Backend.Service == "", "backend.service", quote(s.Backend.Service), "nothing for kind engine")
	case core.BackendService:
		c.name("backend.service", s.Backend.Service)
	default:
		c.require(false, "backend.kind", quote(string(s.Backend.Kind)), `"engine" or "service"`)
	}
}

// checkPeers checks Peers and sets the default of Advertise.
func (s *Agent) checkPeers(c *checker) {
	peers := &s.Peers
	peers.TLS.check(c, "peers.tls", true)
	c.require(peers.TLS.Cert != "" || !peers.Listen.IsValid() || peers.Listen.Addr().IsLoopback(), "peers.tls", "no certificate",
		"cert, key and ca; none only if peers.listen is a loopback address, as anybody who reaches it could give orders")
	c.listen("peers.listen", peers.Listen)
	if !peers.Advertise.IsValid() && peers.Listen.IsValid() && !peers.Listen.Addr().IsUnspecified() {
		peers.Advertise = peers.Listen
	} else {
		dialable := peers.Advertise.IsValid() && !peers.Advertise.Addr().IsUnspecified() && peers.Advertise.Port() != 0
		c.require(dialable, "peers.advertise", peers.Advertise,
			`the "IP:port" that others dial, also when peers.listen is every address`)
	}
	c.require(peers.UpgradeRate > 0, "peers.upgradeRate", peers.UpgradeRate, "more than 0 per second")
	c.require(peers.UpgradeBurst > 0, "peers.upgradeBurst", peers.UpgradeBurst, "more than 0")
}

func (s *Common) check(c *checker) {
	c.name("host", string(s.Host))
	c.name("zone", string(s.Zone))
	c.listen("operators.listen", s.Operators.Listen)
	open := s.Operators.Token == "" && s.Operators.Listen.Addr().IsLoopback()
	c.require(open || len(s.Operators.Token) >= minTokenBytes, "operators.token", "(not shown)",
		"16 bytes or more; none only if operators.listen is a loopback address")
	s.Operators.TLS.check(c, "operators.tls", false)
	c.baseURL("hosts.url", s.Hosts.URL)
	c.positive("hosts.interval", s.Hosts.Interval)
	c.positive("stopLimit", s.StopLimit)
	s.Timings.check(c)
	s.checkLimits(c)
}

// check requires files that depend on each other to be set together. With mutual,
// used between processes, a certificate needs a CA: without one to verify the peer's
// certificate, anyone who can reach the address could send orders.
func (t TLS) check(c *checker, field string, mutual bool) {
	const pair = "both cert and key, or neither"
	c.require((t.Cert == "") == (t.Key == ""), field, "one of cert and key", pair)
	c.require(t.CA == "" || t.Cert != "", field+".ca", quote(t.CA), "nothing without cert and key")
	c.require(!mutual || t.Cert == "" || t.CA != "", field+".ca", "nothing", "the file of the authority that signs peers' certificates")
}

func (s *Common) checkLimits(c *checker) {
	c.require(s.Limits.QueueLength > 0, "limits.queueLength", s.Limits.QueueLength, "more than 0")
	c.bytes("limits.queueBytes", s.Limits.QueueBytes)
	window := s.Limits.StreamWindow
	c.require(window > 0 && window <= maxStreamWindow, "limits.streamWindow", window, "1 to 4096 frames")
	c.checkLog(s.Log)
}

func (c *checker) checkLog(log Log) {
	switch log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.require(false, "log.level", quote(log.Level), `"debug", "info", "warn" or "error"`)
	}
	c.require(log.Format == "json" || log.Format == "text", "log.format", quote(log.Format), `"json" or "text"`)
}

func (c *checker) bytes(field string, got int64) {
	c.require(got > 0 && got <= maxBytes, field, got, "1 to 1073741824 bytes")
}

// check includes the relations between timings that guarantee a single owner per
// slot (see docs/DESIGN.md). If they are violated, a slot could be loaded twice.
func (t Timings) check(c *checker) {
	c.positive("timings.tenure", t.Tenure)
	c.positive("timings.unloadLead", t.UnloadLead)
	c.positive("timings.orderValidity", t.OrderValidity)
	c.positive("timings.reportInterval", t.ReportInterval)
	c.positive("timings.rosterInterval", t.RosterInterval)
	c.positive("timings.stewardLease", t.StewardLease)
	c.positive("timings.pingInterval", t.PingInterval)
	c.require(t.UnloadLead < t.Tenure, "timings.unloadLead", t.UnloadLead, "less than timings.tenure")
	// Dividing the margin avoids an overflow: twice a very large order validity
	// would overflow and pass.
	c.require(t.TenureMargin > 0 && t.TenureMargin/2 >= t.OrderValidity, "timings.tenureMargin",
		t.TenureMargin, "at least twice timings.orderValidity")
	c.require(t.Grace >= t.ReportInterval, "timings.grace", t.Grace, "at least timings.reportInterval")
	servingTime := t.Tenure - t.UnloadLead
	if servingTime <= 0 {
		return
	}
	const wanted = "at most a quarter of timings.tenure less timings.unloadLead"
	c.require(t.ReportInterval <= servingTime/reportsPerTenure, "timings.reportInterval", t.ReportInterval, wanted)
	c.require(t.RosterInterval <= servingTime/reportsPerTenure, "timings.rosterInterval", t.RosterInterval, wanted)
	c.require(t.OrderValidity < servingTime, "timings.orderValidity", t.OrderValidity,
		"less than timings.tenure less timings.unloadLead")
}
