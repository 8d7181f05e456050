package load

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
)

// Limits on the values of a plan.
const (
	maxDuration   = 24 * time.Hour
	maxMultiplier = 1000
	maxPerSecond  = 1_000_000
	limitRequests = 5_000_000
	limitOpen     = 60_000
	maxBytes      = 1 << 20
	maxTokens     = 100_000
	minTimeout    = 50 * time.Millisecond
	maxTimeout    = time.Hour
	maxZipf       = 10
)

// methods lists the HTTP methods of service calls. HEAD is missing because its
// response has no body to check.
var methods = []string{"GET", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

func (c *checker) require(ok bool, field string, got any, wanted string) {
	if ok {
		return
	}
	if text, isText := got.(string); isText {
		got = strconv.Quote(text)
	}
	c.report(field, fmt.Sprint(got), wanted)
}

func (c *checker) requireRange(got, low, high Duration, field string) {
	c.require(got >= low && got <= high, field, time.Duration(got),
		fmt.Sprintf("%v to %v", time.Duration(low), time.Duration(high)))
}

func (c *checker) requireShare(got float64, field string) {
	c.require(got >= 0 && got <= 1, field, got, "0 to 1")
}

func (p *Plan) check(c *checker) {
	c.require(len(p.Targets) > 0, "targets", "nothing", "one or more entries' base URLs")
	c.requireLoopback(p.Targets, "targets")
	c.requireLoopback(p.Referees, "referees")
	c.requireRange(p.Grace, 0, Duration(time.Minute), "grace")
	c.requireRange(p.RefusalLimit, 0, Duration(maxTimeout), "refusalLimit")
	c.require(p.MaxRequests > 0 && p.MaxRequests <= limitRequests, "maxRequests", p.MaxRequests, "1 to 5000000")
	c.require(p.MaxOpen > 0 && p.MaxOpen <= limitOpen, "maxOpen", p.MaxOpen, "1 to 60000")
	p.checkPhases(c)
	c.require(len(p.Classes) > 0, "classes", "nothing", "one or more")
	names := map[string]bool{}
	for i := range p.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		class := &p.Classes[i]
		c.require(class.Name != "" && !names[class.Name], path+".name", class.Name, "a name given once")
		names[class.Name] = true
		class.check(c, path)
		for k, call := range class.Calls {
			p.checkCall(c, fmt.Sprintf("%s.calls[%d]", path, k), call)
		}
	}
}

func (p *Plan) checkPhases(c *checker) {
	if len(p.Phases) == 0 {
		c.requireRange(p.Duration, Duration(time.Millisecond), Duration(maxDuration), "duration")
		return
	}
	c.require(p.Duration == 0, "duration", time.Duration(p.Duration), "nothing beside phases, which have their own")
	total := Duration(0)
	names := map[string]bool{}
	for i, phase := range p.Phases {
		path := fmt.Sprintf("phases[%d]", i)
		c.require(phase.Name != "" && !names[phase.Name], path+".name", phase.Name, "a name given once")
		names[phase.Name] = true
		c.requireRange(phase.Duration, Duration(time.Millisecond), Duration(maxDuration), path+".duration")
		c.require(phase.Multiplier > 0 && phase.Multiplier <= maxMultiplier, path+".multiplier", phase.Multiplier, "more than 0, at most 1000")
		total += min(phase.Duration, Duration(maxDuration))
	}
	c.require(total <= Duration(maxDuration), "phases", time.Duration(total), "24h or less in all")
}

// requireLoopback accepts only URLs with a loopback IP address, so that a load
// generator with a wrong target can't flood another host.
func (c *checker) requireLoopback(urls []string, field string) {
	const wanted = `"http://IP:port" with a loopback address (127.0.0.0/8 or ::1): load is never sent to other hosts`
	for i, text := range urls {
		c.require(isLoopback(text), fmt.Sprintf("%s[%d]", field, i), text, wanted)
	}
}

func isLoopback(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil {
		return false
	}
	address, err := netip.ParseAddrPort(parsed.Host)
	plain := parsed.User == nil && parsed.RawQuery == "" && parsed.Fragment == "" && strings.Trim(parsed.Path, "/") == ""
	return err == nil && parsed.Scheme == "http" && plain && address.Addr().IsLoopback()
}

func (class *Class) check(c *checker, path string) {
	c.require(class.APIKey != "" && !strings.ContainsAny(class.APIKey, " \r\n"), path+".apiKey", class.APIKey, "an API key")
	known := []api.Priority{"", api.PriorityInteractive, api.PriorityBatch}
	c.require(slices.Contains(known, class.Priority), path+".priority", string(class.Priority), `"interactive" or "batch"`)
	class.checkProcesses(c, path)
	c.require(len(class.Calls) > 0, path+".calls", "nothing", "one or more")
	class.PromptBytes.check(c, path+".promptBytes", maxBytes)
	class.MaxTokens.check(c, path+".maxTokens", maxTokens)
	shared := class.SharedPrefixBytes
	c.require(shared >= 0 && shared <= maxBytes, path+".sharedPrefixBytes", shared, "0 to 1048576")
	c.requireShare(class.StreamShare, path+".streamShare")
	c.requireShare(class.KeyShare, path+".keyShare")
	c.requireShare(class.CancelShare, path+".cancelShare")
	c.requireShare(class.SlowShare, path+".slowShare")
	c.requireRange(class.Timeout, Duration(minTimeout), Duration(maxTimeout), path+".timeout")
	c.requireRange(class.CancelAfter, 1, Duration(maxTimeout), path+".cancelAfter")
	c.requireRange(class.SlowPause, 1, Duration(time.Minute), path+".slowPause")
}

func (class *Class) checkProcesses(c *checker, path string) {
	c.require(class.Poisson != nil || class.Bursts != nil, path, "no arrival process", "poisson, bursts or both")
	if p := class.Poisson; p != nil {
		c.require(p.PerSecond > 0 && p.PerSecond <= maxPerSecond, path+".poisson.perSecond", p.PerSecond, "more than 0, at most 1000000")
	}
	if b := class.Bursts; b != nil {
		c.require(b.Size > 0 && b.Size <= limitRequests, path+".bursts.size", b.Size, "1 to 5000000")
		c.requireRange(b.Every, Duration(time.Millisecond), Duration(maxDuration), path+".bursts.every")
		c.requireRange(b.Spread, 0, b.Every, path+".bursts.spread")
	}
}

func (r *Range) check(c *checker, path string, high int) {
	c.require(r.Min >= 1 && r.Min <= r.Max && r.Max <= high, path, fmt.Sprintf("%d to %d", r.Min, r.Max),
		fmt.Sprintf("min at most max, both from 1 to %d", high))
}

func (p *Plan) checkCall(c *checker, path string, call Call) {
	c.require(call.Weight > 0, path+".weight", call.Weight, "more than 0")
	c.require((len(call.Models) > 0) != (call.Service != ""), path, "neither or both", "models or service")
	c.require(call.Zipf >= 0 && call.Zipf <= maxZipf, path+".zipf", call.Zipf, "0 to 10")
	for i, name := range call.Models {
		c.require(p.key(name) != "", fmt.Sprintf("%s.models[%d]", path, i), name, "a model or adapter that versions names")
	}
	if call.Service == "" {
		given := call.Method + call.Path + call.Body
		c.require(given == "", path, given, "method, path and body beside service only")
		return
	}
	c.require(slices.Contains(methods, call.Method), path+".method", call.Method, "one of "+strings.Join(methods, ", "))
	parsed, err := url.Parse(call.Path)
	ok := err == nil && strings.HasPrefix(call.Path, "/") && parsed.Host == "" && parsed.Fragment == ""
	c.require(ok, path+".path", call.Path, `a path such as "/rolls"`)
	c.require(!strings.ContainsAny(call.Service, "/?#"), path+".service", call.Service, "a service's name")
}

// key returns the key, "NAME@VERSION", of the checkpoint that answers calls of a
// model or adapter, or "" if Versions has no entry for it.
func (p *Plan) key(name string) string {
	if _, adapter, both := strings.Cut(name, ":"); both {
		name = adapter
	}
	version := p.Versions[name]
	if version == "" {
		return ""
	}
	return name + "@" + version
}
