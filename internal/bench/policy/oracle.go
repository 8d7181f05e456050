package policy

import (
	"time"
)

// oracle returns a lower bound on the cost of any policy that starts loads only when
// requests arrive, even if it knows all arrivals. Between two requests for a key it
// keeps the key loaded exactly if that is cheaper than a cold start, at the
// deployment's prices. Memory is unlimited, runs take no time, each load comes from
// the host's memory, and there are no queues. An oracle that also loaded before the
// arrivals would have no cold starts and no idle hours.
func oracle(d *deployment, arrivals []arrival, opts Options) Row {
	o := oracleRun{d: d, last: map[string]time.Duration{}, until: map[string]time.Duration{}, row: Row{Name: "oracle"}}
	for i := range arrivals {
		o.request(&arrivals[i])
	}
	o.row.ColdRequests = len(o.waits)
	o.row.sumCosts(o.waits, o.interactive, d.snapshot.Deployment)
	o.row.P50, o.row.P99, o.row.Max = percentile(o.waits, 0.5), percentile(o.waits, 0.99), percentile(o.waits, 1)
	o.row.InteractiveP99 = percentile(o.interactive, 0.99)
	o.row.FloorP99 = o.row.P99
	return o.row
}

type oracleRun struct {
	d *deployment
	// last is the time of the last request for a key, until the end of its last
	// load.
	last, until        map[string]time.Duration
	waits, interactive []time.Duration
	row                Row
}

func (o *oracleRun) request(a *arrival) {
	s := o.d.sizes(a.name)
	cold, ready := false, a.at
	if s.base != "" {
		ready, cold = o.recordUse(a.at, ready, o.d.sizes(a.target.Model))
	}
	ready, own := o.recordUse(a.at, ready, s)
	if !cold && !own {
		return
	}
	wait := ready - a.at + firstToken
	o.waits = append(o.waits, wait)
	if !a.batch {
		o.interactive = append(o.interactive, wait)
	}
}

// recordUse records a request for a key at the given time. A load that the request
// needs begins at from. It returns the time at which the key is loaded, and whether
// the request has to wait for a load.
func (o *oracleRun) recordUse(at, from time.Duration, s sizes) (time.Duration, bool) {
	last, known := o.last[s.key]
	o.last[s.key] = at
	if until := o.until[s.key]; until > at {
		return max(until, from), true
	}
	load := loadFixed + time.Duration(float64(s.stored)/memoryMiBPerSec*float64(time.Second))
	if known {
		idle := (at - last).Hours() * float64(s.memory) / hostMemoryMiB
		if s.base != "" {
			idle = 0 // the referee ignores adapters too, since they need little memory
		}
		if o.keepsLoaded(idle, load) {
			o.row.IdleHours += idle
			return from, false
		}
	}
	o.row.Loads++
	o.row.ColdStarts++
	o.until[s.key] = from + load
	return o.until[s.key], true
}

// keepsLoaded reports whether the idle hours cost no more than a cold start.
func (o *oracleRun) keepsLoaded(idleHours float64, load time.Duration) bool {
	prices := o.d.snapshot.Deployment
	return idleHours*prices.IdleHourPrice <= load.Seconds()*prices.ColdStartPrice
}
