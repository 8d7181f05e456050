package retrybudget

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	testWindow = 10 * time.Second
	testSlack  = 100
	updateTime = 50 * time.Millisecond
)

// sharePlay updates a share at each tick with what its router knows.
type sharePlay struct {
	share *Share
	now   core.Time
}

func newSharePlay(declared int) *sharePlay {
	return &sharePlay{share: NewShare(start, testWindow, declared), now: start}
}

func (p *sharePlay) play(d time.Duration, c Contact) {
	for end := p.now.Add(d); p.now < end; {
		p.now = p.now.Add(updateTime)
		p.share.Update(p.now, c)
	}
}

func (p *sharePlay) want(t *testing.T, part float64) {
	t.Helper()
	if got := p.share.Part(p.now, testSlack); got != part {
		t.Errorf("part %v after %v, want %v", got, p.now.Sub(start), part)
	}
}

// inContact is a router of a fleet of 20 that reaches all five loaders.
var inContact = Contact{Listed: 5, Reached: 5, Routers: 20}

// Guards against a process that uses a part of the slack which the process before it may have used
// within the same window.
func TestNewProcessWaitsForItsPart(t *testing.T) {
	p := newSharePlay(0)
	p.want(t, 0)
	p.play(testWindow*3/2-updateTime, inContact)
	p.want(t, 0)
	p.play(2*updateTime, inContact)
	p.want(t, 5)
}

// Guards against a router that takes the whole slack since it knows of no other.
func TestPartNeedsContact(t *testing.T) {
	for name, c := range map[string]Contact{
		"no loader is reached":        {Listed: 5},
		"half of the loaders":         {Listed: 4, Reached: 2, Routers: 3},
		"no loader has reported":      {Listed: 5, Reached: 5},
		"there are no loaders":        {},
		"there are no loaders, known": {Routers: 3},
	} {
		t.Run(name, func(t *testing.T) {
			p := newSharePlay(0)
			p.play(10*testWindow, c)
			p.want(t, 0)
		})
	}
}

// Guards against a router that goes on using its part while others, of which it can't hear, start.
func TestLostContactEndsThePart(t *testing.T) {
	p := newSharePlay(0)
	p.play(2*testWindow, inContact)
	p.play(testWindow/4, Contact{Listed: 5, Reached: 2, Routers: 20})
	p.want(t, 0)
	p.play(updateTime, inContact)
	p.want(t, 5)
}

// Guards against a router that the others count no longer, and that uses its part at once when it
// is back.
func TestLongLossOfContactCountsAsAStart(t *testing.T) {
	p := newSharePlay(0)
	p.play(2*testWindow, inContact)
	p.play(testWindow*6/10, Contact{Listed: 5})
	p.play(testWindow, inContact)
	p.want(t, 0)
	p.play(testWindow, inContact)
	p.want(t, 5)
}

// Guards against parts that grow while what ended routers sent is within the window.
func TestEndedRoutersCountForSomeTime(t *testing.T) {
	p := newSharePlay(0)
	p.play(2*testWindow, inContact)
	fewer := Contact{Listed: 5, Reached: 5, Routers: 10}
	p.play(testWindow*14/10, fewer)
	p.want(t, 5)
	fewest := Contact{Listed: 5, Reached: 5, Routers: 4}
	p.play(testWindow*3/10, fewest)
	p.want(t, 10)
	p.play(testWindow*14/10, fewest)
	p.want(t, 25)
}

// Guards against a part that shrinks too late when routers join.
func TestJoiningRoutersCountAtOnce(t *testing.T) {
	p := newSharePlay(0)
	p.play(2*testWindow, inContact)
	p.play(updateTime, Contact{Listed: 5, Reached: 5, Routers: 40})
	p.want(t, 2.5)
}

// Guards against a deployment without loaders whose routers have no slack although operators
// declare how many there are.
func TestDeclaredNumberOfRouters(t *testing.T) {
	p := newSharePlay(4)
	p.play(testWindow, Contact{})
	p.want(t, 0)
	p.play(testWindow, Contact{})
	p.want(t, 25)
	p.play(updateTime, Contact{Listed: 1, Reached: 1, Routers: 5})
	p.want(t, 20)
}

// Guards against a change of the settings that gives a share twice, and against one that takes it
// without need.
func TestChangedSettings(t *testing.T) {
	p := newSharePlay(0)
	p.play(2*testWindow, inContact)
	p.share.Set(p.now, testWindow, 50)
	p.want(t, 2)
	p.share.Set(p.now, testWindow, 0)
	p.want(t, 5)
	p.share.Set(p.now, 2*testWindow, 0)
	p.play(updateTime, inContact)
	p.want(t, 0)
}
