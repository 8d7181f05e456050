package router

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// pauseUnder returns the pause between events of an engine under load.
func pauseUnder(load int, undisturbed time.Duration, share float64) time.Duration {
	return time.Duration(float64(undisturbed) * (1 + share*float64(load)))
}

// Two models, one four times as fast, run beside 0 to 30 requests, and pauses vary by a
// tenth. The share must be estimated correctly: it determines how many engines a busy model
// gets. An estimate from prompt lengths fell from 26 to 2 us a token within seconds, and
// copies in use were evicted.
func TestShareIsLearntUnderChangingLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s := newSpeed()
	for range 800 {
		model, undisturbed := "large", 20*time.Millisecond
		if random.IntN(2) == 0 {
			model, undisturbed = "small", 5*time.Millisecond
		}
		load := random.IntN(30)
		noise := 1 + 0.1*random.Float64()
		pause := time.Duration(noise * float64(pauseUnder(load, undisturbed, 0.04)))
		s.answerEnded(answer{model: model, events: 35, first: 5 * pause, pause: pause, concurrent: load})
	}
	if math.Abs(s.share-0.04) > 0.015 {
		t.Fatalf("share %.3f, want about 0.04", s.share)
	}
	if got := s.queueFactor(20); got < 1.5 || got > 2.2 {
		t.Fatalf("queue factor %.2f beside 20 requests, want about 1.8", got)
	}
	// 20 a second of 0.8 s each keep 16 running, 16 x 0.04 of an engine.
	if got := s.load("large", 20, 0); got < 0.4 || got > 0.9 {
		t.Fatalf("load %.2f, want about 0.64", got)
	}
}

// Without samples, or with short answers only, no load may be computed, or a model would be
// copied to engines by chance.
func TestShareWithoutSamples(t *testing.T) {
	s := newSpeed()
	for range 100 {
		s.answerEnded(answer{model: "m", events: minEvents - 1, first: time.Second, pause: time.Second, concurrent: 10})
	}
	if s.queueFactor(50) != 1 || s.load("m", 100, 32) != 0 {
		t.Fatal("answers that are too short changed the estimated load")
	}
}

// Guards against a share that rises too slowly from zero: after a restart under load it
// stayed too small for ten seconds, and busy models kept too few copies just when all
// callers came back. A few answers must be enough.
func TestShareIsKnownAfterFewAnswers(t *testing.T) {
	s := newSpeed()
	s.answerEnded(answer{model: "m", events: 35, first: 100 * time.Millisecond, pause: 20 * time.Millisecond})
	for range 8 {
		pause := pauseUnder(10, 20*time.Millisecond, 0.04)
		s.answerEnded(answer{model: "m", events: 35, first: 100 * time.Millisecond, pause: pause, concurrent: 10})
	}
	if math.Abs(s.share-0.04) > 0.01 {
		t.Fatalf("share %.3f after 8 answers, want about 0.04", s.share)
	}
}

// Engines of 32 slots, on which each request takes little of the time: 60 calls a second of
// 0.8 s keep 48 of them running. By time alone one engine has enough capacity; with that
// estimate a third of the callers waited 1.5 to 2.5 s for a slot, and engines refused
// hundreds. Slots must count.
func TestFewSlotsCountAsLoad(t *testing.T) {
	s := newSpeed()
	s.share = 0.012
	s.models["m"] = &modelSpeed{first: 100 * time.Millisecond, pause: 70 * time.Millisecond, events: 10}
	if got := s.load("m", 60, 32); got < 1.5 || got > 2.2 {
		t.Errorf("load %.2f of an engine of 32 slots, want about 1.85", got)
	}
	if got := s.load("m", 60, 1000); math.Abs(got-60*0.8*0.012) > 0.2 {
		t.Errorf("load %.2f of an engine of many slots, want about 0.58", got)
	}
}

// Demand moves to a model without answers at this router. Its load must not count as zero
// until then, but as the mean of the other models.
func TestUnknownModelHasTheUsualLoad(t *testing.T) {
	s := newSpeed()
	s.models["a"] = &modelSpeed{first: 100 * time.Millisecond, pause: 10 * time.Millisecond, events: 10}
	s.models["b"] = &modelSpeed{first: 100 * time.Millisecond, pause: 30 * time.Millisecond, events: 10}
	if got := s.unloadedTime("new"); got != 300*time.Millisecond {
		t.Errorf("%s, want the mean of the others, 300 ms", got)
	}
}

// Guards against streams that are cut off at a stop because engines often take longer than
// the mean, and against refusals at a stop where they never do.
func TestTailIsThe99thPercentile(t *testing.T) {
	for name, c := range map[string]struct {
		late        func(i int) bool
		least, most float64
	}{
		"never late":            {func(int) bool { return false }, 1, 1.1},
		"one in 20 four times":  {func(i int) bool { return i%20 == 0 }, 3.8, 4.4},
		"one in 300 four times": {func(i int) bool { return i%300 == 0 }, 1, 1.4},
		"always 20 times":       {func(int) bool { return true }, 1, 1.1}, // that is its time then
	} {
		s := newSpeed()
		for i := range 3000 {
			a := answer{model: "m", events: 20, first: 100 * time.Millisecond, pause: 50 * time.Millisecond}
			if c.late(i) {
				a.pause *= 4
			}
			s.answerEnded(a)
		}
		if s.tail < c.least || s.tail > c.most {
			t.Errorf("%s: tail %.2f, want %.1f to %.1f", name, s.tail, c.least, c.most)
		}
	}
}
