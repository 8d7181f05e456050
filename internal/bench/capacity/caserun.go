package capacity

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/standin/engine"
)

const (
	// warmLimit is the timeout for preparing a fleet: bringing the configuration
	// in force everywhere and connecting the entries.
	warmLimit = 2 * time.Minute
	// concurrency is the number of requests that a replica runs concurrently.
	concurrency = 64
	// memoryShare is the accelerator memory of a host relative to an even share
	// of the placed replicas. With much more memory, all replicas are placed at
	// the agents that report first.
	memoryShare = 2
	// tightMemoryMiB fits a model and about twenty adapters, so that loading
	// another adapter evicts one.
	tightMemoryMiB = 64 + 20
	// connectConcurrency is the number of concurrent requests that connect
	// entries to agents.
	connectConcurrency = 32
)

// caseRun is a running case and its fleet.
type caseRun struct {
	opts     Options
	testCase Case
	fleet    *fleet.Fleet
	referee  *engine.Referee
	warmTime time.Duration
}

// measureCase starts a fleet, measures each load of the case and returns one
// point per load.
func measureCase(ctx context.Context, opts Options, c Case) ([]Point, error) {
	s := &caseRun{opts: opts, testCase: c, referee: engine.NewReferee()}
	options := engine.Options{MemoryMiB: c.engineMemoryMiB(), MaxBatch: concurrency, Referee: s.referee}
	if c.WakesPerSecond > 0 {
		options.MemoryMiB = tightMemoryMiB
	}
	var err error
	s.fleet, err = fleet.Start(ctx, fleet.Options{
		Daemon: opts.Daemon, Entries: c.Entries, Agents: c.Agents, Engine: options,
	})
	if err != nil {
		return nil, errors.Wrap(err, c.Name())
	}
	defer s.fleet.Close()
	points, err := s.measure(ctx)
	return points, errors.Wrap(err, c.Name())
}

func (s *caseRun) measure(ctx context.Context) ([]Point, error) {
	if err := s.warm(ctx); err != nil {
		return nil, err
	}
	var points []Point
	for _, l := range s.loads() {
		p, err := s.window(ctx, l)
		if err != nil {
			return points, errors.Wrap(err, l.name)
		}
		points = append(points, p)
		fmt.Fprintf(s.opts.Progress, "%s, %s: agent %.2f%% %.0f MiB, steward %.2f%% %.0f MiB\n",
			p.Case, p.Load, 100*p.Agent.CPU, p.Agent.ResidentMiB, 100*p.Steward.CPU, p.Steward.ResidentMiB)
	}
	return points, nil
}

// warm applies the configuration, waits until it is in force at all daemons and
// connects the entries to the agents if the case wants it.
func (s *caseRun) warm(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, warmLimit)
	defer cancel()
	begin := time.Now()
	revision, err := s.fleet.Apply(limited, 0, fleet.Declare(s.testCase.declaration()))
	if err != nil {
		return err
	}
	if err := s.fleet.AwaitRevision(limited, revision); err != nil {
		return err
	}
	s.warmTime = time.Since(begin)
	// The steward places slots, and agents load the models to keep loaded.
	if err := pause(ctx, s.opts.Settle/2); err != nil {
		return err
	}
	if s.testCase.Connect {
		s.connect(limited)
	}
	return pause(ctx, s.opts.Settle/2)
}

// connect sends a request for each model through each entry. Failed requests are
// only printed, since the points include the number of connections.
func (s *caseRun) connect(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(connectConcurrency)
	client := &http.Client{Timeout: 20 * time.Second}
	defer client.CloseIdleConnections()
	for _, entry := range s.fleet.Entries {
		for i := range s.testCase.models() {
			group.Go(func() error {
				return complete(ctx, client, entry.Callers, fleet.ModelName(i))
			})
		}
	}
	if err := group.Wait(); err != nil {
		fmt.Fprintf(s.opts.Progress, "connect: %v\n", err)
	}
}

func complete(ctx context.Context, client *http.Client, callers, model string) error {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":1,"messages":[{"role":"user","content":"note"}]}`, model)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+fleet.APIKey)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "complete")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("complete %s: status %d", model, response.StatusCode)
	}
	return nil
}

// window runs one load and measures the fleet meanwhile.
func (s *caseRun) window(ctx context.Context, l workload) (Point, error) {
	before, err := s.read(ctx)
	if err != nil {
		return Point{}, err
	}
	events, err := l.run(ctx, s)
	if err != nil {
		return Point{}, err
	}
	after, err := s.read(ctx)
	return s.point(l.name, events, before, after), err
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
