package router

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// pauseUnder is the pause between events of an engine under load.
func pauseUnder(load int, undisturbed time.Duration, share float64) time.Duration {
	return time.Duration(float64(undisturbed) * (1 + share*float64(load)))
}

// Two models, one four times as fast, run beside 0 to 30 requests, and pauses
// vary by a tenth. The share must come out all the same: it decides how many
// engines a busy model gets. Learnt from prompt lengths instead, it once fell
// from 26 to 2 us a token within seconds, and copies in use were evicted.
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
		s.answerEnded(answer{model: model, events: 35, first: 5 * pause, pause: pause, beside: load})
	}
	if math.Abs(s.share-0.04) > 0.015 {
		t.Fatalf("share %.3f, want about 0.04", s.share)
	}
	if got := s.queueFactor(20); got < 1.5 || got > 2.2 {
		t.Fatalf("queue factor %.2f beside 20 requests, want about 1.8", got)
	}
	// 20 a second of 0.8 s each keep 16 running, 16 x 0.04 of an engine.
	if got := s.load("large", 20); got < 0.4 || got > 0.9 {
		t.Fatalf("load %.2f, want about 0.64", got)
	}
}

// Nothing is known at the start, and short answers tell nothing: no load may be
// computed from that, or a model would be copied to engines by chance.
func TestShareWithoutSamples(t *testing.T) {
	s := newSpeed()
	for range 100 {
		s.answerEnded(answer{model: "m", events: leastEvents - 1, first: time.Second, pause: time.Second, beside: 10})
	}
	if s.queueFactor(50) != 1 || s.load("m", 100) != 0 {
		t.Fatal("a speed without samples counts")
	}
}

// The fleet was restarted under load. Learnt slowly from zero, the share stayed
// too small for ten seconds, and busy models kept too few copies just when all
// callers came back. A few answers must be enough.
func TestShareIsKnownAfterFewAnswers(t *testing.T) {
	s := newSpeed()
	s.answerEnded(answer{model: "m", events: 35, first: 100 * time.Millisecond, pause: 20 * time.Millisecond})
	for range 8 {
		pause := pauseUnder(10, 20*time.Millisecond, 0.04)
		s.answerEnded(answer{model: "m", events: 35, first: 100 * time.Millisecond, pause: pause, beside: 10})
	}
	if math.Abs(s.share-0.04) > 0.01 {
		t.Fatalf("share %.3f after 8 answers, want about 0.04", s.share)
	}
}
