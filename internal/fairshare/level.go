package fairshare

import "math"

// demand is what one account asked for within the window, and its weight.
type demand struct{ asked, weight float64 }

// level returns the fair level by water-filling: the number of permits for each unit of
// weight at which the accounts, each getting at most what it asks for, get capacity
// permits together. It is +Inf if the capacity suffices for all. The demands are reordered.
func level(demands []demand, capacity float64) float64 {
	capacity = max(0, capacity)
	for len(demands) > 0 {
		weight := 0.0
		for _, d := range demands {
			weight += d.weight
		}
		at := capacity / weight
		limited := demands[:0]
		for _, d := range demands {
			if d.asked <= at*d.weight {
				capacity -= d.asked
				continue
			}
			limited = append(limited, d)
		}
		if len(limited) == len(demands) {
			return at
		}
		// A sum that was rounded may exceed the capacity by a little.
		capacity = max(0, capacity)
		demands = limited
	}
	return math.Inf(1)
}
