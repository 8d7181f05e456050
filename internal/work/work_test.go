package work

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// Two models, one four times as slow, are read behind prompts that the router does not
// know of in half of the cases. Both estimates must be within a fifth of the true values: a
// mean counted waiting as slow reading and led to twice the copies needed.
func TestSpeedDespiteUnknownPrompts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	perToken := map[string]time.Duration{"small": 25 * time.Microsecond, "large": 100 * time.Microsecond}
	s := Speed{}
	for i := range 300 {
		model := []string{"small", "large"}[i%2]
		tokens := 500 + random.IntN(9000)
		took := 15*time.Millisecond + time.Duration(tokens)*perToken[model]
		if random.IntN(2) == 0 {
			took += time.Duration(random.IntN(400)) * time.Millisecond
		}
		s.Observe(model, tokens, took)
	}
	for model, want := range perToken {
		got := s.ReadTime(model, 1000)
		if ratio := float64(got) / float64(1000*want); ratio < 0.8 || ratio > 1.2 {
			t.Errorf("%s: 1,000 tokens in %s, want about %s", model, got, 1000*want)
		}
	}
}

// A model without answers must be predicted like the others, and a service without
// answers by the initial values; neither as taking no time.
func TestUnknownModelIsPredictedFromOthers(t *testing.T) {
	s := Speed{}
	if s.ReadTime("m", 1000) <= 0 || s.BaseLatency() <= 0 {
		t.Fatal("a service without answers is predicted to take no time")
	}
	s.Observe("a", 0, 10*time.Millisecond)
	s.Observe("a", 1000, 110*time.Millisecond)
	if got := s.ReadTime("b", 1000); got < 80*time.Millisecond || got > 120*time.Millisecond {
		t.Fatalf("1,000 tokens of an unknown model in %s, want about 100 ms", got)
	}
}

// An engine hangs. By the prediction alone it would become idle after a while and receive
// all further requests. The predicted delay must grow with the time that its prompt is
// overdue.
func TestDelayOfHangingEngineGrows(t *testing.T) {
	q := Queue{}
	start := core.Time(time.Hour)
	q.Send(start, 1, 100*time.Millisecond, 120*time.Millisecond)
	before := time.Duration(0)
	for _, after := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		ahead := q.Delay(start.Add(after))
		if ahead <= before {
			t.Fatalf("%s after the request: %s ahead, before %s", after, ahead, before)
		}
		before = ahead
	}
	q.Remove(start.Add(4*time.Second), 1)
	if got := q.Delay(start.Add(4 * time.Second)); got != 0 {
		t.Fatalf("%s ahead after the answer", got)
	}
}

// Three long prompts must count for more than four short ones, despite their number.
func TestQueueSumsReadTimes(t *testing.T) {
	long, short := Queue{}, Queue{}
	now := core.Time(time.Hour)
	for key := range uint64(3) {
		long.Send(now, key, 240*time.Millisecond, time.Second)
	}
	for key := range uint64(4) {
		short.Send(now, key, 22*time.Millisecond, time.Second)
	}
	if long.Delay(now) != 720*time.Millisecond || short.Delay(now) != 88*time.Millisecond {
		t.Fatalf("%s and %s ahead", long.Delay(now), short.Delay(now))
	}
	long.Remove(now.Add(240*time.Millisecond), 0)
	if got := long.Delay(now.Add(240 * time.Millisecond)); got != 480*time.Millisecond {
		t.Fatalf("%s ahead after the first of three", got)
	}
}

func testPrompt(model string, own int, ids ...string) Prefix {
	p := &fleet.Prompt{Model: model}
	for _, id := range ids {
		p.Parts = append(p.Parts, fleet.PromptPart{ID: id, Tokens: 1000})
	}
	p.Parts = append(p.Parts, fleet.PromptPart{ID: fmt.Sprintf("own%d", own), Tokens: 500})
	for _, piece := range p.Parts {
		p.Tokens += piece.Tokens
	}
	return NewPrefix(p)
}

// A part must count as cached only after the same parts, for the same model, while the
// model stays loaded and the memory suffices.
func TestCachedTokens(t *testing.T) {
	c := NewCache(6000)
	c.Add(testPrompt("m1", 1, "a", "b"))
	for _, test := range []struct {
		name string
		p    Prefix
		want int
	}{
		{"same parts", testPrompt("m1", 2, "a", "b"), 2000},
		{"same first part", testPrompt("m1", 2, "a", "c"), 1000},
		{"other order", testPrompt("m1", 2, "b", "a"), 0},
		{"other model", testPrompt("m2", 2, "a", "b"), 0},
	} {
		if got := c.CachedTokens(test.p); got != test.want {
			t.Errorf("%s: %d tokens cached, want %d", test.name, got, test.want)
		}
	}
	c.Add(testPrompt("m2", 3, "d", "e"))
	c.RetainModels(func(model string) bool { return model == "m2" })
	if got := c.CachedTokens(testPrompt("m1", 2, "a", "b")); got != 0 {
		t.Errorf("%d tokens of an unloaded model", got)
	}
	for i := range 10 {
		c.Add(testPrompt("m2", 10+i, fmt.Sprint("x", i)))
	}
	if got := c.CachedTokens(testPrompt("m2", 4, "d", "e")); got != 0 || c.tokens > 6000 {
		t.Errorf("%d tokens of an evicted prompt, %d kept", got, c.tokens)
	}
}

// The answer to one prompt is lost on its way, and the engine answers all later ones. It
// is not behind, and requests must not be refused because of it.
func TestLostAnswerDoesNotDelayItsEngine(t *testing.T) {
	q := Queue{}
	now := core.Time(time.Hour)
	q.Send(now, 1, 20*time.Millisecond, 40*time.Millisecond)
	now = now.Add(10 * time.Millisecond)
	q.Send(now, 2, 20*time.Millisecond, 60*time.Millisecond)
	q.Started(now.Add(60*time.Millisecond), 2)
	if got := q.Delay(now.Add(5 * time.Second)); got > 50*time.Millisecond {
		t.Fatalf("%s ahead at an engine that answers", got)
	}
}
