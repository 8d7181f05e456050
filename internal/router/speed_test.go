package router

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Prompts of 100 to 2,600 tokens are read at 19.2 tokens a ms, after a fixed
// first step of 80 ms, and each waits a random time behind others. The slope
// must come out near 52 us a token all the same: it decides how many engines a
// busy model gets.
func TestSlopeFindsReadingSpeed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var s speed
	for range 400 {
		tokens := 100 + random.IntN(2500)
		wait := time.Duration(random.Float64() * float64(60*time.Millisecond))
		s.firstEvent(tokens, 80*time.Millisecond+time.Duration(tokens)*52*time.Microsecond+wait)
	}
	if got := s.perToken(); got < 45*time.Microsecond || got > 59*time.Microsecond {
		t.Fatalf("time per token %v, want about 52us", got)
	}
}

// Nothing is known at the start, and then only requests of one length: no load
// may be computed from that, or a model would be copied to engines by chance.
func TestSlopeWithoutSpread(t *testing.T) {
	var s speed
	if s.perToken() != 0 || s.queueFactor(50) != 1 {
		t.Fatal("a speed without samples counts")
	}
	for range 100 {
		s.firstEvent(500, 100*time.Millisecond)
	}
	if got := s.perToken(); got != 0 {
		t.Fatalf("time per token %v from prompts of one length", got)
	}
}

// Twenty requests of 500 tokens that run 0.7 s each keep an engine reading for
// 0.74 of the time: callers wait about four times as long as at an idle one.
func TestQueueFactor(t *testing.T) {
	s := speed{tokens: 500, run: 700 * time.Millisecond}
	for i := range 100 {
		s.reading.add(float64(100+i), float64(time.Duration(100+i)*52*time.Microsecond))
	}
	if got := s.queueFactor(20); math.Abs(got-1/(1-20*0.0371)) > 0.2 {
		t.Fatalf("queue factor %.2f, want about %.2f", got, 1/(1-20*0.0371))
	}
	if got := s.queueFactor(1000); got > 10.01 {
		t.Fatalf("queue factor %.2f of a full engine, want it bounded", got)
	}
}
