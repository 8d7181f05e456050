package capacity

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/load"
)

// Names of the loads.
const (
	loadIdle     = "idle"
	loadChanges  = "changes"
	loadWakes    = "wakes"
	loadRequests = "requests"
	loadTokens   = "tokens"
)

// Rates of the request loads.
const (
	requestsPerSecond = 400
	streamsPerSecond  = 40
	tokensPerStream   = 200
)

// workload is a load on a fleet during a window. run returns the number of
// events.
type workload struct {
	name string
	run  func(context.Context, *caseRun) (float64, error)
}

func (s *caseRun) loads() []workload {
	c := s.testCase
	loads := []workload{{loadIdle, idle}}
	add := func(wanted bool, name string, run func(context.Context, *caseRun) (float64, error)) {
		if wanted {
			loads = append(loads, workload{name, run})
		}
	}
	add(c.ChangesPerSecond > 0, loadChanges, change)
	add(c.WakesPerSecond > 0, loadWakes, wake)
	add(c.Requests, loadRequests, request)
	add(c.Tokens, loadTokens, stream)
	return loads
}

func idle(ctx context.Context, s *caseRun) (float64, error) { return 0, pause(ctx, s.opts.Window) }

// change applies configuration changes of one adapter each at a constant rate.
func change(ctx context.Context, s *caseRun) (float64, error) {
	interval := time.Duration(float64(time.Second) / s.testCase.ChangesPerSecond)
	end := time.Now().Add(s.opts.Window)
	count := 0
	var revision int64
	for time.Now().Before(end) {
		next := time.Now().Add(interval)
		r, err := s.fleet.Apply(ctx, 0, []api.Resource{changedAdapter(s.testCase, count)})
		if err != nil {
			return 0, err
		}
		revision = r
		count++
		if err := pause(ctx, time.Until(next)); err != nil {
			return 0, err
		}
	}
	return float64(count), s.fleet.AwaitRevision(ctx, revision)
}

// changedAdapter returns the resource of the n-th change, which gives an adapter
// another memory size.
func changedAdapter(c Case, n int) api.Resource {
	i := n % c.Adapters
	return fleet.Adapter(i, i%c.models(), 2+int64(n/c.Adapters))
}

// wake sends requests for random adapters, almost all of which are not loaded,
// and returns the number of loads.
func wake(ctx context.Context, s *caseRun) (float64, error) {
	names := make([]string, s.testCase.Adapters)
	for i := range names {
		names[i] = fleet.AdapterName(i)
	}
	before := s.referee.Report().Loads
	_, err := s.send(ctx, s.testCase.WakesPerSecond, names, 1)
	return float64(s.referee.Report().Loads - before), err
}

func request(ctx context.Context, s *caseRun) (float64, error) {
	return s.send(ctx, requestsPerSecond, s.modelNames(), 1)
}

func stream(ctx context.Context, s *caseRun) (float64, error) {
	requests, err := s.send(ctx, streamsPerSecond, s.modelNames(), tokensPerStream)
	return requests * tokensPerStream, err
}

func (s *caseRun) modelNames() []string {
	names := make([]string, s.testCase.models())
	for i := range names {
		names[i] = fleet.ModelName(i)
	}
	return names
}

// send runs a load plan for the window and returns the number of correct answers.
func (s *caseRun) send(ctx context.Context, perSecond float64, names []string, tokens int) (float64, error) {
	plan := load.Plan{
		Duration: load.Duration(s.opts.Window), Versions: map[string]string{},
		Classes: []load.Class{{
			Name: "bench", APIKey: fleet.APIKey, Poisson: &load.Poisson{PerSecond: perSecond},
			Calls:       []load.Call{{Weight: 1, Models: names}},
			MaxTokens:   &load.Range{Min: tokens, Max: tokens},
			StreamShare: 1, Timeout: load.Duration(30 * time.Second),
		}},
	}
	for _, e := range s.fleet.Entries {
		plan.Targets = append(plan.Targets, "http://"+e.Callers)
	}
	for _, name := range names {
		plan.Versions[name] = fleet.CheckpointVersion
	}
	summary, err := load.Run(ctx, plan, load.Options{})
	if err != nil {
		return 0, err
	}
	if faults := summary.Faults(); faults > 0 {
		return 0, errors.Newf("%d faulty answers, for example %v", faults, summary.Examples)
	}
	return summary.Phases[0].GoodputPerSecond * s.opts.Window.Seconds(), nil
}
