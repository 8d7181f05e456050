package engine

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	apitypes "nutmeglane.example/nutmeglane/internal/api"
	api "nutmeglane.example/nutmeglane/internal/engine/engineapi"
	"nutmeglane.example/nutmeglane/internal/standin/admin"
)

// DefaultMaxTokens is the number of tokens in an answer if the body sets none.
const DefaultMaxTokens = 32

// vocabulary is the list of words used in answers.
var vocabulary = strings.Fields("wall floor window door sink kite wind beach permit line clean scratch note key")

// Answer returns the tokens of the answer to a prompt for a checkpoint key. It is
// the same for all stand-in engines. A smaller maxTokens gives a prefix of the
// longer answer.
func Answer(key, prompt string, maxTokens int) []string {
	seed := xxhash.Sum64String(key + "\x00" + prompt)
	tokens := make([]string, maxTokens)
	for i := range tokens {
		hash := xxhash.Sum64String(strconv.FormatUint(seed, 16) + "/" + strconv.Itoa(i))
		tokens[i] = vocabulary[hash%uint64(len(vocabulary))] + strconv.FormatUint(hash>>32%1000, 10) + " "
	}
	return tokens
}

// completion is the part of an OpenAI-style body that the stand-in reads.
type completion struct {
	Prompt   string `json:"prompt"`
	Messages []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
}

// prompt returns the prompt field, if any, followed by the messages.
func (c completion) prompt() string {
	var contents []json.RawMessage
	for _, message := range c.Messages {
		contents = append(contents, message.Content)
	}
	if c.Prompt != "" && len(contents) > 0 {
		return c.Prompt + "\n" + api.Prompt(contents)
	}
	return cmp.Or(c.Prompt, api.Prompt(contents))
}

func (c completion) length() int {
	return cmp.Or(max(0, c.MaxCompletionTokens), max(0, c.MaxTokens), DefaultMaxTokens)
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var body completion
	from, _ := strconv.Atoi(r.Header.Get(api.HeaderResumeFrom))
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || from < 0 {
		refuse(w, api.ReasonBadRequest)
		return
	}
	turn := s.enqueue(apitypes.Priority(r.Header.Get(api.HeaderPriority)))
	if turn == nil {
		refuse(w, api.ReasonDraining)
		return
	}
	if !s.awaitTurn(r.Context(), turn) {
		return
	}
	key := r.Header.Get(api.HeaderKey)
	it := s.startRun(key, body.prompt())
	defer s.finishRun(it)
	if it == nil {
		refuse(w, api.ReasonNotLoaded)
		return
	}
	if from == 0 {
		s.opts.Referee.countRun(admin.RunID(r.Header), r.Header.Get(api.HeaderNonIdempotent) == "true")
	}
	w.Header().Set("Content-Type", api.ContentTypeStream)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(it.ctx, cancel)()
	s.streamTokens(ctx, w, Answer(key, body.prompt(), body.length()), from)
}

// startRun returns the item of the checkpoint, or nil if it is not loaded.
func (s *Server) startRun(key, prompt string) *item {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.items[key]
	if it == nil || it.Busy {
		return nil
	}
	it.runs++
	s.cachePrefix(api.PrefixHash(prompt))
	return it
}

// streamTokens streams tokens at the configured rate. Tokens due at the same time
// are sent together. It aborts the connection when the context ends: the
// checkpoint is unloaded, the client disconnects or the server closes.
func (s *Server) streamTokens(ctx context.Context, w http.ResponseWriter, tokens []string, from int) {
	encoder := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	_ = flush()
	last := time.Now()
	for next := from; next < len(tokens); {
		interval := s.tokenInterval()
		if !admin.Sleep(ctx, interval, nil) || !s.AwaitHang(ctx) {
			panic(http.ErrAbortHandler)
		}
		due := max(1, int(time.Since(last)/interval))
		last = last.Add(time.Duration(due) * interval)
		for end := min(next+due, len(tokens)); next < end; next++ {
			_ = encoder.Encode(api.Token{Index: uint64(next), Text: tokens[next]})
		}
		_ = flush()
	}
	_ = encoder.Encode(api.Token{Index: uint64(max(from, len(tokens))), Done: true})
}

func (s *Server) tokenInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	slow := max(1, s.faults.SlowTokens)
	interval := s.scale(time.Duration(slow / s.opts.TokensPerSecond * float64(time.Second)))
	return max(interval, time.Microsecond)
}

// enqueue accepts a run. The returned channel is closed when the run may start.
// It is nil if the engine is draining.
func (s *Server) enqueue(priority apitypes.Priority) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role == api.RoleDraining {
		return nil
	}
	turn := make(chan struct{})
	queue := interactiveQueue
	if priority == apitypes.PriorityBatch {
		queue = batchQueue
	}
	if s.running < s.opts.MaxBatch {
		s.running++
		close(turn)
	} else {
		s.queues[queue] = append(s.queues[queue], turn)
	}
	s.recordChange(api.CacheEvent{})
	return turn
}

// awaitTurn waits until the run may start. It returns false if the client
// disconnects first.
func (s *Server) awaitTurn(ctx context.Context, turn chan struct{}) bool {
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	if !s.dequeue(turn) { // the run got its place concurrently
		s.finishRun(nil)
	}
	return false
}

// dequeue removes a run from its queue. It returns false if the run isn't queued.
func (s *Server) dequeue(turn chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, queue := range s.queues {
		if place := slices.Index(queue, turn); place >= 0 {
			s.queues[i] = slices.Delete(queue, place, place+1)
			return true
		}
	}
	return false
}

// finishRun ends a run, if it is not nil, and gives its place to the next queued
// run.
func (s *Server) finishRun(it *item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it != nil {
		it.runs--
	}
	s.running--
	for i, queue := range s.queues {
		if len(queue) > 0 {
			close(queue[0])
			s.queues[i] = queue[1:]
			s.running++
			break
		}
	}
	s.recordChange(api.CacheEvent{})
}
