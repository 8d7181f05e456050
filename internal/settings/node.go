package settings

import (
	"net/netip"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// The roles of routers and loaders.
const (
	RoleRouter Role = "router"
	RoleLoader Role = "loader"
)

// Node holds the fields common to routers and loaders.
type Node struct {
	// Role is "router" or "loader". Required.
	Role Role `json:"role"`
	// Host is the host name used in logs. Required.
	Host string `json:"host"`
	// Address is the host's IP address, which identifies it to peers. Required.
	Address string `json:"address"`
	// Zone is the host's availability zone. Required.
	Zone core.Zone `json:"zone"`
	// Operators is the "IP:port" that serves metrics and the state dump. Required.
	Operators netip.AddrPort `json:"operators"`
	// MemoryMB is the memory limit of the process. Default 0: unknown.
	MemoryMB float64 `json:"memoryMB"`
	// Log configures log lines.
	Log Log `json:"log"`
	// StopLimit is the maximum duration of a graceful shutdown. Default 8s.
	StopLimit time.Duration `json:"stopLimit"`
}

// Router holds the settings of a router.
type Router struct {
	Node
	// Callers is the "IP:port" of the callers' listener. Required.
	Callers netip.AddrPort `json:"callers"`
	// Descriptors is the number of file descriptors of the process, of which callers'
	// connections get a part. Default 0: as the operating system limits them.
	Descriptors float64 `json:"descriptors"`
	// Readiness is the "IP:port" at which the load balancer checks whether the
	// router accepts connections. Required.
	Readiness netip.AddrPort `json:"readiness"`
	// LoaderPort is the port of the loader on each engine's host. Required.
	LoaderPort int `json:"loaderPort"`
	// Processor is the process's share of a processor. The router with the largest
	// share becomes the coordinator. Default 0: unknown.
	Processor float64 `json:"processor"`
	// Store is the "IP:port" of the platform's store. Required.
	Store netip.AddrPort `json:"store"`
	// Bounds are the limits that the deployment guarantees.
	Bounds RouterBounds `json:"bounds"`
	// Crowding configures what protects engines from more work than they can finish.
	// Default: off.
	Crowding Crowding `json:"crowding"`
}

// Crowding are the switches of the protection of engines from overload. They apply to the
// services all of whose streams declare a pause objective of at least FromPause. A switch
// that is left out is off.
type Crowding struct {
	// FromPause is the shortest pause objective. 0, the default, turns all switches off.
	FromPause time.Duration `json:"fromPause"`
	// Budget limits the rate of requests to engines whose running streams fall behind.
	Budget bool `json:"budget"`
	// CopyPlan decides by a common plan which engines load which models.
	CopyPlan bool `json:"copyPlan"`
	// RunCopies continues runs whose engine is lost from a copy of their memory.
	RunCopies bool `json:"runCopies"`
}

// RouterBounds are the fields of fleet.Bounds, which documents them. All are required
// except RetryRouters and those of quotas, which a deployment without client accounts does
// not use. These default to 0, and QuotaWindow to 10s.
type RouterBounds struct {
	Drain           time.Duration `json:"drain"`
	ConfigDelay     time.Duration `json:"configDelay"`
	RetryRatio      float64       `json:"retryRatio"`
	RetrySlack      float64       `json:"retrySlack"`
	RetryWindow     time.Duration `json:"retryWindow"`
	StoreLoadWindow time.Duration `json:"storeLoadWindow"`
	StoreLoadSlack  float64       `json:"storeLoadSlack"`
	RetryRouters    int           `json:"retryRouters"`
	QuotaWindow     time.Duration `json:"quotaWindow"`
	QuotaOver       float64       `json:"quotaOver"`
	QuotaSlack      float64       `json:"quotaSlack"`
	QuotaRouters    int           `json:"quotaRouters"`
}

// FleetBounds returns the bounds as fleet.Bounds, with StopLimit as Grace.
func (r *Router) FleetBounds() fleet.Bounds {
	b := r.Bounds
	return fleet.Bounds{
		Drain: b.Drain, ConfigDelay: b.ConfigDelay, Grace: r.StopLimit,
		RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack, RetryWindow: b.RetryWindow, RetryRouters: b.RetryRouters,
		StoreLoadWindow: b.StoreLoadWindow, StoreLoadSlack: b.StoreLoadSlack,
		QuotaWindow: b.QuotaWindow, QuotaOver: b.QuotaOver, QuotaSlack: b.QuotaSlack, QuotaRouters: b.QuotaRouters,
	}
}

// Loader holds the settings of a loader.
type Loader struct {
	Node
	// Peers is the "IP:port" at which routers connect. Required.
	Peers netip.AddrPort `json:"peers"`
	// Engine is the "IP:port" of the loader's engine. Required.
	Engine netip.AddrPort `json:"engine"`
	// IdleAfter is the time after its last request from which a loaded model counts as
	// idle in metrics and logs. Default 10s.
	IdleAfter time.Duration `json:"idleAfter"`
}

func defaultNode() Node {
	return Node{Log: Log{Level: "info", Format: "json"}, StopLimit: 8 * time.Second}
}

// DefaultRouter returns a router's settings with all defaults set and the required
// fields empty.
func DefaultRouter() *Router {
	return &Router{Node: defaultNode(), Bounds: RouterBounds{QuotaWindow: 10 * time.Second}}
}

// DefaultLoader returns a loader's settings with all defaults set and the required
// fields empty.
func DefaultLoader() *Loader { return &Loader{Node: defaultNode(), IdleAfter: 10 * time.Second} }

// LoadRouter is Load for a router.
func LoadRouter(file string) (*Router, error) { return loadAs[*Router](file, RoleRouter) }

// LoadLoader is Load for a loader.
func LoadLoader(file string) (*Loader, error) { return loadAs[*Loader](file, RoleLoader) }

// RoleName implements Settings.
func (n *Node) RoleName() Role { return n.Role }

// OperatorsListen implements Settings.
func (n *Node) OperatorsListen() netip.AddrPort { return n.Operators }

func (n *Node) checkNode(c *checker) {
	c.require(n.Host != "", "host", "nothing", "a name")
	_, err := netip.ParseAddr(n.Address)
	c.require(err == nil, "address", quote(n.Address), "an IP number")
	c.require(n.Zone != "", "zone", "nothing", "a name")
	c.listen("operators", n.Operators)
	c.require(n.MemoryMB >= 0, "memoryMB", n.MemoryMB, "0 or more")
	c.positive("stopLimit", n.StopLimit)
	c.checkLog(n.Log)
}

func (r *Router) check(c *checker) {
	r.checkNode(c)
	c.listen("callers", r.Callers)
	c.require(r.Descriptors >= 0, "descriptors", r.Descriptors, "0 or more")
	c.listen("readiness", r.Readiness)
	c.listen("store", r.Store)
	c.require(r.LoaderPort > 0 && r.LoaderPort < 1<<16, "loaderPort", r.LoaderPort, "a port")
	c.require(r.Processor >= 0, "processor", r.Processor, "0 or more")
	b := r.Bounds
	c.require(r.Crowding.FromPause >= 0, "crowding.fromPause", r.Crowding.FromPause, "0 or more")
	c.positive("bounds.drain", b.Drain)
	c.positive("bounds.configDelay", b.ConfigDelay)
	c.positive("bounds.retryWindow", b.RetryWindow)
	c.positive("bounds.storeLoadWindow", b.StoreLoadWindow)
	c.require(b.RetryRatio >= 0, "bounds.retryRatio", b.RetryRatio, "0 or more")
	c.require(b.RetrySlack >= 0, "bounds.retrySlack", b.RetrySlack, "0 or more")
	c.require(b.RetryRouters >= 0, "bounds.retryRouters", b.RetryRouters, "0 or more")
	c.positive("bounds.quotaWindow", b.QuotaWindow)
	c.require(b.QuotaOver >= 0, "bounds.quotaOver", b.QuotaOver, "0 or more")
	c.require(b.QuotaSlack >= 0, "bounds.quotaSlack", b.QuotaSlack, "0 or more")
	c.require(b.QuotaRouters >= 0, "bounds.quotaRouters", b.QuotaRouters, "0 or more")
	c.require(b.StoreLoadSlack > 0, "bounds.storeLoadSlack", b.StoreLoadSlack, "more than 0")
}

func (l *Loader) check(c *checker) {
	l.checkNode(c)
	c.listen("peers", l.Peers)
	c.listen("engine", l.Engine)
}
