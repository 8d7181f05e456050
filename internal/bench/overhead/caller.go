package overhead

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
)

// caller sends completion requests to the entry or directly to an engine, with
// the same HTTP client.
type caller struct {
	client *http.Client
	opts   Options
	// callers is the address of the entry for callers. engines has the base
	// URLs of the engines; any of them may have a model.
	callers string
	engines []string
	// sample reads the CPU times.
	sample func(context.Context) (usage, error)
	// tokens counts the tokens received, answers the complete answers.
	tokens, answers atomic.Int64
}

// usage is the cumulative CPU time of the two roles.
type usage struct {
	entry, agents time.Duration
}

func newCaller(f *fleet.Fleet, opts Options) *caller {
	c := &caller{opts: opts, callers: f.Entries[0].Callers, client: newClient(opts.Streams)}
	for _, e := range f.Engines {
		c.engines = append(c.engines, e.URL())
	}
	c.sample = func(ctx context.Context) (usage, error) { return sampleFleet(ctx, f) }
	return c
}

func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: 2 * connections, MaxIdleConnsPerHost: connections, DisableCompression: true,
	}}
}

func sampleFleet(ctx context.Context, f *fleet.Fleet) (usage, error) {
	var u usage
	samples, err := fleet.Samples(ctx, f.Processes())
	for i, s := range samples {
		if i < len(f.Entries) {
			u.entry += s.CPU
		} else {
			u.agents += s.CPU
		}
	}
	return u, err
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// through sends a request to the entry and returns the time to the first token.
// It fails if the answer does not have the requested number of tokens.
func (c *caller) through(ctx context.Context, model, tokens int) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"kitchen: tap drips"}]}`,
		fleet.ModelName(model), tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.callers+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+fleet.APIKey)
	return c.send(request, []byte(`"delta":{"content":"`), []byte(`"delta":{"content":""`), tokens)
}

// awaitLoaded waits until a request through the entry succeeds for every model.
func (c *caller) awaitLoaded(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmLimit)
	defer cancel()
	for model := range c.opts.Agents {
		for {
			_, err := c.through(ctx, model, 1)
			if err == nil {
				break
			}
			if pause(ctx, warmRetry) != nil {
				return errors.Wrapf(err, "model %d is not loaded", model)
			}
		}
	}
	return nil
}

// direct sends a request directly to the engine that has the model loaded and
// returns the time to the first token.
func (c *caller) direct(ctx context.Context, model, tokens int) (time.Duration, error) {
	body := fmt.Sprintf(`{"max_tokens":%d,"messages":[{"role":"user","content":"kitchen: tap drips"}]}`, tokens)
	var last error
	for i := range c.engines {
		// The steward chose the engine of the model, so the engines are tried in
		// turn.
		url := c.engines[(model+i)%len(c.engines)] + engineapi.PathCompletions
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
		if err != nil {
			return 0, errors.Wrap(err, "build request")
		}
		request.Header.Set(engineapi.HeaderKey, fleet.ModelName(model)+"@"+fleet.CheckpointVersion)
		taken, err := c.send(request, []byte(`"text":"`), []byte(`"done":true`), tokens)
		if err == nil {
			return taken, nil
		}
		last = err
	}
	return 0, last
}

// send sends a request and returns the time to the first token. Lines of the
// answer that contain token and do not contain skip count as one token each. It
// fails unless want tokens arrive.
func (c *caller) send(request *http.Request, token, skip []byte, want int) (time.Duration, error) {
	begin := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "send")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, errors.Newf("status %d", response.StatusCode)
	}
	var first time.Duration
	got := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		line := lines.Bytes()
		if !bytes.Contains(line, token) || bytes.Contains(line, skip) {
			continue
		}
		if got == 0 {
			first = time.Since(begin)
		}
		got++
		c.tokens.Add(1)
	}
	if err := lines.Err(); err != nil {
		return 0, errors.Wrap(err, "read answer")
	}
	if got != want {
		return 0, errors.Newf("received %d tokens, want %d", got, want)
	}
	c.answers.Add(1)
	return first, nil
}
