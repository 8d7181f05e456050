package capacity

// Quantity is a resource usage that a slope is fitted to.
type Quantity string

// The quantities. Each is the usage of one process.
const (
	QuantityCPU      Quantity = "core share"
	QuantityResident Quantity = "resident MiB"
	QuantityIn       Quantity = "bytes/s in"
	QuantityOut      Quantity = "bytes/s out"
)

// Role is the process role whose usage a slope describes.
type Role string

// The roles. RoleEntry excludes the entry that is the steward.
const (
	RoleAgent   Role = "agent"
	RoleEntry   Role = "entry"
	RoleSteward Role = "steward"
)

// Slope is a straight line fitted to points: Y = Base + X * PerUnit.
type Slope struct {
	Role     Role     `json:"role"`
	Quantity Quantity `json:"quantity"`
	// Per names the unit of X.
	Per     string  `json:"per"`
	Base    float64 `json:"base"`
	PerUnit float64 `json:"per_unit"`
	// From has the values that the line is fitted to.
	From []Pair `json:"from"`
}

// Pair is a measured value Y at X.
type Pair struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// fit returns the least-squares line through pairs. If all X are equal, the
// slope is 0 and base is the mean of Y.
func fit(pairs []Pair) (base, slope float64) {
	n := float64(len(pairs))
	if n == 0 {
		return 0, 0
	}
	var meanX, meanY float64
	for _, p := range pairs {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var covariance, variance float64
	for _, p := range pairs {
		covariance += (p.X - meanX) * (p.Y - meanY)
		variance += (p.X - meanX) * (p.X - meanX)
	}
	if variance == 0 {
		return meanY, 0
	}
	slope = covariance / variance
	return meanY - slope*meanX, slope
}

func (p *Point) usage(role Role) *Usage {
	switch role {
	case RoleAgent:
		return &p.Agent
	case RoleEntry:
		return &p.Entry
	default:
		return &p.Steward
	}
}

func (u *Usage) value(q Quantity) float64 {
	switch q {
	case QuantityCPU:
		return u.CPU
	case QuantityResident:
		return u.ResidentMiB
	case QuantityIn:
		return u.InPerSecond
	default:
		return u.OutPerSec
	}
}

// dimension is the quantity that varies between the cases of a series. Slopes of
// a role are fitted against it.
type dimension struct {
	series string
	per    string
	role   Role
	x      func(*Point) float64
}

func dimensions() []dimension {
	adapters := func(p *Point) float64 { return float64(p.Adapters) }
	replicas := func(p *Point) float64 { return float64(p.Replicas) }
	connections := func(role Role) func(*Point) float64 {
		return func(p *Point) float64 { return p.usage(role).Connections }
	}
	return []dimension{
		{seriesAgents, "connected agent", RoleSteward, connections(RoleSteward)},
		{seriesAgents, "connected agent", RoleEntry, connections(RoleEntry)},
		{seriesEntries, "connected entry", RoleAgent, connections(RoleAgent)},
		{seriesReplicas, "replica", RoleAgent, replicas},
		{seriesReplicas, "replica", RoleEntry, replicas},
		{seriesReplicas, "replica", RoleSteward, replicas},
		{seriesAdapters, "adapter", RoleAgent, adapters},
		{seriesAdapters, "adapter", RoleEntry, adapters},
		{seriesAdapters, "adapter", RoleSteward, adapters},
	}
}

// slopes fits a line to the idle points for every quantity and dimension. A
// series with fewer than two points has no slope.
func slopes(points []Point) []Slope {
	var all []Slope
	for _, d := range dimensions() {
		for _, q := range []Quantity{QuantityCPU, QuantityResident, QuantityIn, QuantityOut} {
			s := Slope{Role: d.role, Quantity: q, Per: d.per}
			for i := range points {
				p := &points[i]
				if p.Series == d.series && p.Load == loadIdle && p.usage(d.role).Processes > 0 {
					s.From = append(s.From, Pair{X: d.x(p), Y: p.usage(d.role).value(q)})
				}
			}
			s.Base, s.PerUnit = fit(s.From)
			if len(s.From) > 1 {
				all = append(all, s)
			}
		}
	}
	return all
}
