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
	var routes []*fleet.Route
	for i := range config.Routes {
		route := &config.Routes[i]
		serves := func(t fleet.Target) bool { return t.Service == service }
		if route.Kind == fleet.Stream && slices.ContainsFunc(route.Targets, serves) {
			routes = append(routes, route)
		}
	}
	return routes
}
