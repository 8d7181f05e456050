package router

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"nutmeglane.example/nutmeglane/internal/fleet"
)

// routeTable finds routes by host name and longest prefix.
type routeTable map[string][]*fleet.Route

func newRouteTable(config *fleet.Config) routeTable {
	table := routeTable{}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		table[host] = append(table[host], route)
	}
	for _, routes := range table {
		slices.SortStableFunc(routes, func(a, b *fleet.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return table
}

// find returns nil if no route matches.
func (t routeTable) find(host, path string) *fleet.Route {
	for _, route := range t[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// target picks a service by weight. The result is always the same for the same request id.
func target(route *fleet.Route, requestID string) string {
	total := 0.0
	for _, t := range route.Targets {
		total += max(0, t.Weight)
	}
	point := float64(xxhash.Sum64String(requestID)) / math.MaxUint64 * total
	for _, t := range route.Targets {
		point -= max(0, t.Weight)
		if point < 0 {
			return t.Service
		}
	}
	return route.Targets[0].Service
}
