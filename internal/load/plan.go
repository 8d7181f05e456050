package load

import (
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/defaults"
	"nutmeglane.example/nutmeglane/internal/settings"
)

// Defaults of a plan.
const (
	defaultGrace       = Duration(2 * time.Second)
	defaultMaxRequests = 1_000_000
	defaultMaxOpen     = 10_000
	defaultTimeout     = Duration(10 * time.Second)
	defaultMaxTokens   = 32
	defaultPromptBytes = 200
	defaultCancelAfter = Duration(200 * time.Millisecond)
	defaultSlowPause   = Duration(50 * time.Millisecond)
)

// Plan describes a run. It is written as JSON with comments.
type Plan struct {
	// Targets are the entries' base URLs, used in turn. When one can't be
	// connected to, the next is tried, as a balancer would. Required.
	Targets []string `json:"targets"`
	// Referees are the base URLs of stand-in engines and services, read
	// before and after the run. Servers that share a referee are named once.
	Referees []string `json:"referees,omitempty"`
	// Seed decides all that is drawn. Default 0.
	Seed uint64 `json:"seed,omitempty"`
	// Duration is the length of a run without Phases.
	Duration Duration `json:"duration,omitempty"`
	// Phases follow one another. Default: one, "steady", at 1x.
	Phases []Phase `json:"phases,omitempty"`
	// Grace is how long after its timeout a request waits before it counts
	// as lost, and how long after the run the referees are read. Default 2s.
	Grace Duration `json:"grace,omitempty"`
	// RefusalLimit is the longest time from sending to a refusal that is not
	// late. Default: each request's own timeout.
	RefusalLimit Duration `json:"refusalLimit,omitempty"`
	// MaxRequests bounds the arrivals. Default 1,000,000.
	MaxRequests int `json:"maxRequests,omitempty"`
	// MaxOpen bounds the requests open at once. An arrival over it waits,
	// while its latency counts. Default 10,000.
	MaxOpen int `json:"maxOpen,omitempty"`
	// Versions gives the version in force of each model and adapter called,
	// by which the expected answers are computed.
	Versions map[string]string `json:"versions,omitempty"`
	// Classes are the traffic classes. Required.
	Classes []Class `json:"classes"`
}

// Phase is a part of the run.
type Phase struct {
	// Name is unique. Required.
	Name string `json:"name"`
	// Duration is required.
	Duration Duration `json:"duration"`
	// Multiplier scales the Poisson rates and burst sizes. Required.
	Multiplier float64 `json:"multiplier"`
}

// Class is a kind of traffic.
type Class struct {
	// Name is unique. Required.
	Name string `json:"name"`
	// APIKey is the client account's. Required.
	APIKey string `json:"apiKey"`
	// Priority is sent along if given.
	Priority api.Priority `json:"priority,omitempty"`
	// Poisson and Bursts are the arrival processes: one or both.
	Poisson *Poisson `json:"poisson,omitempty"`
	Bursts  *Bursts  `json:"bursts,omitempty"`
	// Calls are chosen from by weight. Required.
	Calls []Call `json:"calls"`
	// PromptBytes is drawn evenly. Default 200.
	PromptBytes *Range `json:"promptBytes,omitempty"`
	// SharedPrefixBytes begin all prompts for one model alike. Default 0.
	SharedPrefixBytes int `json:"sharedPrefixBytes,omitempty"`
	// MaxTokens is drawn evenly. Default 32.
	MaxTokens *Range `json:"maxTokens,omitempty"`
	// StreamShare of the completions is streamed, from 0 to 1. Default 0.
	StreamShare float64 `json:"streamShare,omitempty"`
	// KeyShare of the requests carries an idempotency key. Default 0.
	KeyShare float64 `json:"keyShare,omitempty"`
	// Timeout is sent as Request-Timeout. Default 10s.
	Timeout Duration `json:"timeout,omitempty"`
	// CancelShare of the callers goes away CancelAfter (default 200ms) after
	// sending, unless answered by then. Default 0.
	CancelShare float64  `json:"cancelShare,omitempty"`
	CancelAfter Duration `json:"cancelAfter,omitempty"`
	// SlowShare of the callers pauses SlowPause (default 50ms) before each
	// read of up to 512 bytes. Default 0.
	SlowShare float64  `json:"slowShare,omitempty"`
	SlowPause Duration `json:"slowPause,omitempty"`
}

// Poisson is an arrival process with independent gaps.
type Poisson struct {
	PerSecond float64 `json:"perSecond"`
}

// Bursts is an arrival process of Size requests, evenly drawn over Spread, at
// the start of the run and Every so often.
type Bursts struct {
	Size   int      `json:"size"`
	Spread Duration `json:"spread,omitempty"`
	Every  Duration `json:"every"`
}

// Call is either a completion by one of Models or a call of Service.
type Call struct {
	// Weight is the share among the calls of a class. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// Models are "model", "model:adapter" or an adapter's own name.
	Models []string `json:"models,omitempty"`
	// Zipf is the exponent of a long tail over Models: the n-th is chosen
	// with a weight of 1/n^Zipf. Default 0: all alike.
	Zipf float64 `json:"zipf,omitempty"`
	// Service is the name of a plain service.
	Service string `json:"service,omitempty"`
	// Method is the HTTP method. Default GET.
	Method string `json:"method,omitempty"`
	// Path of the service; a query parameter with a unique token is added.
	Path string `json:"path,omitempty"`
	// Body is sent to the service as it is.
	Body string `json:"body,omitempty"`
}

// Range is drawn from evenly, both ends included.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// ReadPlan reads and checks a plan file. The error is settings.Problems.
func ReadPlan(file string) (Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		problem := settings.Problem{File: file, Got: err.Error(), Wanted: "a readable file"}
		return Plan{}, errors.WithStack(settings.Problems{problem})
	}
	return ParsePlan(file, data)
}

// ParsePlan is ReadPlan for the contents of a file; file is named in errors
// only.
func ParsePlan(file string, data []byte) (Plan, error) {
	c := &checker{file: file, lines: map[string]int{}}
	var plan Plan
	c.parse(data, &plan)
	if len(c.problems) > 0 {
		return Plan{}, errors.WithStack(c.problems)
	}
	plan.validate(c)
	if len(c.problems) > 0 {
		return Plan{}, errors.WithStack(c.problems)
	}
	return plan, nil
}

// Check fills in the defaults and checks a plan that was built or changed in
// code. The error is settings.Problems.
func (p *Plan) Check() error {
	c := &checker{}
	p.validate(c)
	if len(c.problems) > 0 {
		return errors.WithStack(c.problems)
	}
	return nil
}

func (p *Plan) validate(c *checker) {
	p.setDefaults()
	p.check(c)
}

// decode reads a plan whose fields have been checked by name and type.
func (c *checker) decode(root hujson.Value, into *Plan) {
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), into); err != nil {
		c.report("", err.Error(), "values within range")
	}
}

func (p *Plan) setDefaults() {
	defaults.Set(&p.Grace, defaultGrace)
	defaults.Set(&p.MaxRequests, defaultMaxRequests)
	defaults.Set(&p.MaxOpen, defaultMaxOpen)
	for i := range p.Classes {
		p.Classes[i].setDefaults()
	}
}

// phases returns the phases, or the one that stands for none.
func (p *Plan) phases() []Phase {
	if len(p.Phases) > 0 {
		return p.Phases
	}
	return []Phase{{Name: "steady", Duration: p.Duration, Multiplier: 1}}
}

func (c *Class) setDefaults() {
	defaults.Set(&c.PromptBytes, &Range{Min: defaultPromptBytes, Max: defaultPromptBytes})
	defaults.Set(&c.MaxTokens, &Range{Min: defaultMaxTokens, Max: defaultMaxTokens})
	defaults.Set(&c.Timeout, defaultTimeout)
	defaults.Set(&c.CancelAfter, defaultCancelAfter)
	defaults.Set(&c.SlowPause, defaultSlowPause)
	for i := range c.Calls {
		defaults.Set(&c.Calls[i].Weight, 1)
		if c.Calls[i].Service != "" {
			defaults.Set(&c.Calls[i].Method, "GET")
		}
	}
}
