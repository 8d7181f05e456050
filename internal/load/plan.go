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

// Plan describes a run. Plan files are JSON with comments.
type Plan struct {
	// Targets are the entries' base URLs, used round-robin. If a connection
	// to one fails, the next is tried, as a load balancer would do. Required.
	Targets []string `json:"targets"`
	// Referees are the base URLs of stand-in engines and services whose
	// counts are read before and after the run. For servers that share a
	// referee, list only one.
	Referees []string `json:"referees,omitempty"`
	// Seed initialises the random sources of the run. Default 0.
	Seed uint64 `json:"seed,omitempty"`
	// Duration is the length of a run without Phases.
	Duration Duration `json:"duration,omitempty"`
	// Phases run one after another. Default: one phase, "steady", with
	// multiplier 1.
	Phases []Phase `json:"phases,omitempty"`
	// Grace is the time after its timeout at which a request counts as lost,
	// and the time after the run at which the referees are read. Default 2s.
	Grace Duration `json:"grace,omitempty"`
	// RefusalLimit is the time from sending after which a refusal counts as
	// late. Default: each request's own timeout.
	RefusalLimit Duration `json:"refusalLimit,omitempty"`
	// MaxRequests limits the number of arrivals. Default 1,000,000.
	MaxRequests int `json:"maxRequests,omitempty"`
	// MaxOpen limits the requests open at once. An arrival beyond it waits, and
	// its latency includes the wait. Default 10,000.
	MaxOpen int `json:"maxOpen,omitempty"`
	// Versions maps each model and adapter called to its version in force. The
	// expected answers depend on it.
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

// Class is a traffic class.
type Class struct {
	// Name is unique. Required.
	Name string `json:"name"`
	// APIKey is the API key of the client account. Required.
	APIKey string `json:"apiKey"`
	// Priority is sent in the Priority header if set.
	Priority api.Priority `json:"priority,omitempty"`
	// Poisson and Bursts are the arrival processes. At least one is required.
	Poisson *Poisson `json:"poisson,omitempty"`
	Bursts  *Bursts  `json:"bursts,omitempty"`
	// Calls are the possible calls, chosen at random by weight. Required.
	Calls []Call `json:"calls"`
	// PromptBytes is the prompt length in bytes, drawn uniformly. Default 200.
	PromptBytes *Range `json:"promptBytes,omitempty"`
	// SharedPrefixBytes is the length of the prefix that all prompts of the
	// class share. Default 0.
	SharedPrefixBytes int `json:"sharedPrefixBytes,omitempty"`
	// MaxTokens is the requested number of tokens, drawn uniformly. Default 32.
	MaxTokens *Range `json:"maxTokens,omitempty"`
	// StreamShare is the share of completions that are streamed, from 0 to 1.
	// Default 0.
	StreamShare float64 `json:"streamShare,omitempty"`
	// KeyShare is the share of requests with an idempotency key. Default 0.
	KeyShare float64 `json:"keyShare,omitempty"`
	// Timeout is sent in the Request-Timeout header. Default 10s.
	Timeout Duration `json:"timeout,omitempty"`
	// CancelShare is the share of requests that the caller cancels CancelAfter
	// (default 200ms) after sending, unless answered by then. Default 0.
	CancelShare float64  `json:"cancelShare,omitempty"`
	CancelAfter Duration `json:"cancelAfter,omitempty"`
	// SlowShare is the share of callers that pause for SlowPause (default
	// 50ms) before each read of up to 512 bytes. Default 0.
	SlowShare float64  `json:"slowShare,omitempty"`
	SlowPause Duration `json:"slowPause,omitempty"`
}

// Poisson is a Poisson arrival process with a mean rate of PerSecond.
type Poisson struct {
	PerSecond float64 `json:"perSecond"`
}

// Bursts is an arrival process with a burst of Size requests at the start of the
// run and after each Every. The requests of a burst are drawn uniformly over
// Spread.
type Bursts struct {
	Size   int      `json:"size"`
	Spread Duration `json:"spread,omitempty"`
	Every  Duration `json:"every"`
}

// Call is either a completion by one of Models or a call of Service.
type Call struct {
	// Weight is the relative weight among the calls of a class. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// Models lists names of the form "model" or "model:adapter", or the name
	// of an adapter alone.
	Models []string `json:"models,omitempty"`
	// Zipf is the exponent of the distribution over Models: the n-th has the
	// weight 1/n^Zipf. Default 0, which makes all equally likely.
	Zipf float64 `json:"zipf,omitempty"`
	// Service is the name of a plain service.
	Service string `json:"service,omitempty"`
	// Method is the HTTP method. Default GET.
	Method string `json:"method,omitempty"`
	// Path is the path of the service call. A query parameter with a unique
	// token is added to it.
	Path string `json:"path,omitempty"`
	// Body is sent to the service unchanged.
	Body string `json:"body,omitempty"`
}

// Range is an inclusive range from which values are drawn uniformly.
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

// ParsePlan parses and checks the contents of a plan file. The name file is used
// only in error messages.
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

// decode decodes a plan whose field names and types have been checked.
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

// phases returns the phases of the plan, or the default phase if it has none.
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
