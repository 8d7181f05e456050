package router

import (
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file determines for which services engines are protected from overload.

// CrowdingOptions are the switches of the protection of engines from overload. They apply to
// the services all of whose streams declare a pause objective of at least FromPause.
type CrowdingOptions struct {
	// FromPause is the shortest pause objective that qualifies a service. 0 turns all
	// switches off.
	FromPause time.Duration
	// Budget enables request-rate budgets of engines, computed by their loaders.
	Budget bool
	// CopyPlan enables the plan of model copies.
	CopyPlan bool
	// RunCopies enables copies of running requests' memory at other engines.
	RunCopies bool
}

// crowding returns the switches in force for a service, all off if it does not qualify.
func (r *Router) crowding(service string) CrowdingOptions {
	if s := r.services[service]; s != nil {
		return s.crowding
	}
	return CrowdingOptions{}
}

// SetCrowding replaces the switches after a change of the settings.
func (r *Router) SetCrowding(options CrowdingOptions) {
	if options == r.opts.Crowding {
		return
	}
	r.opts.Crowding = options
	if r.config == nil {
		return
	}
	r.setCrowding()
	r.setSpecs()
}

// setCrowding computes the switches of all services for the configuration in force.
func (r *Router) setCrowding() {
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		s := r.services[name]
		s.crowding = CrowdingOptions{}
		if qualifiesForCrowding(r.config, name, r.opts.Crowding.FromPause) {
			s.crowding = r.opts.Crowding
		}
	}
	r.setServerBudgets()
	r.dropServerBudgets()
}

// qualifiesForCrowding reports whether a service has streams and all of them declare a pause
// objective of at least fromPause.
func qualifiesForCrowding(config *fleet.Config, service string, fromPause time.Duration) bool {
	if fromPause <= 0 {
		return false
	}
	streams := streamRoutes(config, service)
	tooShort := func(route *fleet.Route) bool { return route.PauseObjective < fromPause }
	return len(streams) > 0 && !slices.ContainsFunc(streams, tooShort)
}

// streamRoutes returns the routes whose streams a service may serve.
func streamRoutes(config *fleet.Config, service string) []*fleet.Route {
	return slices.DeleteFunc(routesTo(config, service), func(route *fleet.Route) bool { return route.Kind != fleet.Stream })
}

// routesTo returns the routes whose requests a service may serve.
func routesTo(config *fleet.Config, service string) []*fleet.Route {
	serves := func(t fleet.Target) bool { return t.Service == service }
	var routes []*fleet.Route
	for i := range config.Routes {
		if slices.ContainsFunc(config.Routes[i].Targets, serves) {
			routes = append(routes, &config.Routes[i])
		}
	}
	return routes
}

// shortestObjective returns the shortest objective of routes, 0 if none has one.
func shortestObjective(routes []*fleet.Route) time.Duration {
	objective := time.Duration(0)
	for _, route := range routes {
		objective = shortest(objective, route.Objective)
	}
	return objective
}

// shortest returns the shorter of two objectives, of which 0 is none.
func shortest(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
