package loader

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/limit"
	"nutmeglane.example/nutmeglane/internal/serverbudget"
)

// This file keeps the request-rate budgets of the servers of plain services for which this
// loader counts: it feeds package serverbudget from routers' reports, enforces the result by
// package limit, and announces it to routers.

const (
	// maxServerBudgets bounds the servers whose loads are kept. It is far above the number of
	// servers that are overloaded at once and choose the same loader.
	maxServerBudgets = 1024
	// serverBudgetIdle is how long the state of a server without a budget is kept after the
	// last message on it.
	serverBudgetIdle = 10 * time.Second
)

// serverBudget is the budget of one incarnation of a server.
type serverBudget struct {
	life   core.ServerLife
	budget *serverbudget.Budget
	// objective is the one reported last.
	objective time.Duration
	// heardAt is when a router last sent anything on the server, advancedAt when the budget
	// was last advanced.
	heardAt, advancedAt core.Time
	// inForce is set while the budget is in force, since began. perSecond is its value, lowest
	// the lowest since then.
	inForce           bool
	began             core.Time
	perSecond, lowest float64
	// toldAt is when each router was last told the budget.
	toldAt map[core.HostID]core.Time
}

// noteServerLoad processes what a router's message tells of the load of a plain service's
// server.
func (l *Loader) noteServerLoad(e LimitRequested) {
	load := e.Request.Load
	if load != nil && !load.Valid() {
		l.emit(Count{core.Count{Name: metricMalformedLoads, Add: 1}})
		load = nil
	}
	s := l.serverBudget(e.Request.Server, load)
	if s == nil {
		return
	}
	s.heardAt = l.now
	sample := serverbudget.Sample{At: l.now}
	if e.Request.RequestID != 0 {
		sample.Asked = 1
	}
	if load != nil {
		s.setObjective(load.Objective)
		sample.Running, sample.Waiting, sample.Slots, sample.Usual = load.Running, load.Waiting, load.Slots, load.Usual
	}
	s.budget.Observe(sample)
	l.enforceServerBudget(s)
	if s.inForce && e.Request.RequestID != 0 {
		s.toldAt[e.Router] = l.now // by the answer
	}
}

// serverBudget returns the state of a server, nil for one without a load and for an earlier
// incarnation. The budget of an earlier incarnation ends.
func (l *Loader) serverBudget(life core.ServerLife, load *core.ServerLoad) *serverBudget {
	s := l.serverBudgets[life.Instance]
	if s != nil && life.Born != 0 && s.life.Born != 0 && life.Born < s.life.Born {
		return nil
	}
	if s != nil && life.Born > s.life.Born {
		// Kept without a load too, so that late messages on the earlier life are recognized.
		l.dropServerBudget(s, "server restarted")
		return l.addServerBudget(life, s.objective)
	}
	if s != nil || load == nil || life.Instance == l.engine.life.Instance || len(l.serverBudgets) >= maxServerBudgets {
		return s
	}
	return l.addServerBudget(life, load.Objective)
}

func (l *Loader) addServerBudget(life core.ServerLife, objective time.Duration) *serverBudget {
	s := &serverBudget{
		life: life, budget: serverbudget.New(objective), objective: objective,
		advancedAt: l.now, toldAt: map[core.HostID]core.Time{},
	}
	l.serverBudgets[life.Instance] = s
	return s
}

func (s *serverBudget) setObjective(objective time.Duration) {
	if objective != s.objective {
		s.objective = objective
		s.budget.SetTarget(objective)
	}
}

// enforceServerBudget makes the limiter enforce a budget after a change, and announces its start
// and end. Routers learn other changes from the answers to their requests for permits, and from
// the renewals.
func (l *Loader) enforceServerBudget(s *serverBudget) {
	perSecond, limited := s.budget.Limit()
	switch {
	case !limited && s.inForce:
		l.endServerBudget(s, "not needed")
	case limited && !s.inForce:
		s.inForce, s.began, s.lowest, s.perSecond = true, l.now, perSecond, perSecond
		l.log("server budget begins", l.serverBudgetAttrs(s, slog.Float64("per_second", perSecond))...)
		l.sendServerBudget(s, l.names)
	case limited && perSecond != s.perSecond:
		s.lowest = min(s.lowest, perSecond)
		l.setServerBudget(s, perSecond)
	}
}

// setServerBudget makes the limiter enforce a budget, 0 to end it. It returns the message that
// announces it, nil for an earlier incarnation. What the server may be sent at once is what it
// finishes within the time that waiting requests may take.
func (l *Loader) setServerBudget(s *serverBudget, perSecond float64) *core.LimitReply {
	s.perSecond = perSecond
	return l.limits.SetBudget(l.now, s.life, limit.Budget{PerSecond: perSecond, Burst: s.budget.AllowedWait()})
}

// sendServerBudget announces a budget to routers.
func (l *Loader) sendServerBudget(s *serverBudget, to []core.HostID) {
	message := l.setServerBudget(s, s.perSecond)
	if message == nil || len(to) == 0 {
		return
	}
	for _, router := range to {
		s.toldAt[router] = l.now
	}
	l.emit(SendLimit{Routers: to, Limit: *message})
}

// endServerBudget ends a budget in force.
func (l *Loader) endServerBudget(s *serverBudget, why string) {
	l.log("server budget ends", l.serverBudgetAttrs(s, slog.String("why", why), slog.Float64("lowest", s.lowest),
		slog.String("held", l.now.Sub(s.began).String()))...)
	s.inForce, s.perSecond = false, 0
	l.sendServerBudget(s, l.names)
	clear(s.toldAt)
}

// dropServerBudget forgets a server.
func (l *Loader) dropServerBudget(s *serverBudget, why string) {
	if s.inForce {
		l.endServerBudget(s, why)
	}
	delete(l.serverBudgets, s.life.Instance)
}

// advanceServerBudgets makes the steps of all budgets that are due without a message, renews the
// budgets in force at routers, and forgets servers of which nothing was heard.
func (l *Loader) advanceServerBudgets() {
	if len(l.serverBudgets) == 0 {
		return
	}
	for _, instance := range slices.Sorted(maps.Keys(l.serverBudgets)) {
		s := l.serverBudgets[instance]
		l.countServerBudgetTime(s)
		s.budget.Advance(l.now)
		l.enforceServerBudget(s)
		switch {
		case s.inForce:
			l.renewServerBudget(s)
		case l.now.Sub(s.heardAt) >= serverBudgetIdle:
			l.dropServerBudget(s, "idle")
		}
	}
}

// renewServerBudget announces a budget again to the routers that have heard nothing of it for
// limit.BudgetInterval.
func (l *Loader) renewServerBudget(s *serverBudget) {
	var due []core.HostID
	for _, name := range l.names {
		if told, ever := s.toldAt[name]; !ever || l.now.Sub(told) >= limit.BudgetInterval {
			due = append(due, name)
		}
	}
	if len(due) > 0 {
		l.sendServerBudget(s, due)
	}
}

// countServerBudgetTime counts the time since the last advance by what the server was then.
func (l *Loader) countServerBudgetTime(s *serverBudget) {
	elapsed := min(maxCountedInterval, l.now.Sub(s.advancedAt)).Seconds()
	s.advancedAt = l.now
	if s.inForce {
		l.emit(Count{core.Count{Name: metricServerBudgetSeconds, Add: elapsed}})
	}
	if s.budget.Crowded() {
		l.emit(Count{core.Count{Name: metricServerCrowdedSeconds, Add: elapsed}})
	}
}

// serverBudgetAttrs are log attributes that show what a budget was computed from.
func (l *Loader) serverBudgetAttrs(s *serverBudget, attrs ...slog.Attr) []slog.Attr {
	state := s.budget.Dump(l.now)
	return append(attrs, slog.String("instance", s.life.Instance), slog.Int64("born", s.life.Born),
		slog.Float64("waiting", state.Waiting), slog.Float64("slots", state.Slots), slog.String("usual", state.Usual.String()),
		slog.String("objective", state.Target.String()), slog.Float64("asked", state.Asked))
}

// ServerBudgetState is the dump of the budget of a plain service's server.
type ServerBudgetState struct {
	Server core.ServerLife
	// InForceFor is how long the budget has been in force, 0 while it is not.
	InForceFor time.Duration
	serverbudget.State
}

// dumpServerBudgets returns the state of all budgets, sorted by instance.
func (l *Loader) dumpServerBudgets() []ServerBudgetState {
	var states []ServerBudgetState
	for _, instance := range slices.Sorted(maps.Keys(l.serverBudgets)) {
		s := l.serverBudgets[instance]
		state := ServerBudgetState{Server: s.life, State: s.budget.Dump(l.now)}
		if s.inForce {
			state.InForceFor = l.now.Sub(s.began)
		}
		states = append(states, state)
	}
	return states
}
