package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// simulation plays requests with shared parts on servers that crash, with one ledger that all
// routers share. Requests and parts are drawn from a seed.
type simulation struct {
	random  *rand.Rand
	now     core.Time
	ledger  *Ledger
	servers []*simServer
	// perServer is the mean number of requests at a server, depth that of shared parts.
	perServer, depth int
	// harmful holds since when a part crashes servers. flapping is the share of servers that
	// crash in a second by another cause.
	harmful  map[core.Fingerprint]core.Time
	flapping float64
	lastID   core.Fingerprint
	// crashes are the times at which servers ended under a harmful part. refused counts the
	// sound requests that were refused, of sound ones.
	crashes        map[core.Fingerprint][]core.Time
	refused, sound int
}

type simServer struct {
	name    string
	life    int
	upAt    core.Time
	running []*simRequest
}

type simRequest struct {
	id    core.Fingerprint
	parts []core.Fingerprint
	// sent, first and done are when it was sent, when its answer begins and when it ends.
	sent, first, done core.Time
	began, lived      bool
}

const (
	simStep    = 10 * time.Millisecond
	simServers = 12
	simDown    = 3 * time.Second
	// simLived is when an answer that began shows that its parts are harmless.
	simLived   = 250 * time.Millisecond
	simService = "s"
	// rareHarmful is the first part that only harmful requests hold.
	rareHarmful core.Fingerprint = 1_000_000
)

func newSimulation(seed uint64, perServer, depth int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), now: start, ledger: New(), perServer: perServer, depth: depth,
		harmful: map[core.Fingerprint]core.Time{}, crashes: map[core.Fingerprint][]core.Time{},
		lastID: 1 << 40,
	}
	for i := range simServers {
		s.servers = append(s.servers, &simServer{name: fmt.Sprint("server", i)})
	}
	return s
}

// run plays for d. A request with each harmful part comes every pause on average.
func (s *simulation) run(d, pause time.Duration) {
	const meanTime = 1100 * time.Millisecond
	rate := float64(simServers*s.perServer) / meanTime.Seconds()
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(simStep) {
		for range s.poisson(rate * simStep.Seconds()) {
			s.arrive(s.drawParts())
		}
		for _, part := range s.harmfulParts() {
			for range s.poisson(simStep.Seconds() / pause.Seconds()) {
				s.arrive(append(s.drawParts()[:1], part))
			}
		}
		for _, server := range s.servers {
			s.advance(server)
		}
		s.ledger.Found(s.now)
	}
}

func (s *simulation) harmfulParts() []core.Fingerprint {
	var parts []core.Fingerprint
	for part := range s.harmful {
		parts = append(parts, part)
	}
	slices.Sort(parts)
	return parts
}

func (s *simulation) poisson(mean float64) int {
	n, t := 0, s.random.ExpFloat64()
	for ; t < mean; t += s.random.ExpFloat64() {
		n++
	}
	return n
}

// drawParts draws shared parts: one of four at the first position, then of ever more, of which
// few are frequent.
func (s *simulation) drawParts() []core.Fingerprint {
	parts := []core.Fingerprint{core.Fingerprint(1 + min(s.random.IntN(4), s.random.IntN(4)))}
	for depth := 1; depth < s.depth; depth++ {
		zipf := rand.NewZipf(s.random, 1.2, 1, uint64(200*depth))
		parts = append(parts, core.Fingerprint(uint64(depth)*10_000+zipf.Uint64()))
	}
	return parts
}

func (s *simulation) isHarmful(parts []core.Fingerprint) (core.Fingerprint, bool) {
	for _, part := range parts {
		if since, ok := s.harmful[part]; ok && s.now >= since {
			return part, true
		}
	}
	return 0, false
}

func (s *simulation) arrive(parts []core.Fingerprint) {
	_, bad := s.isHarmful(parts)
	if !bad {
		s.sound++
	}
	for _, part := range parts {
		if s.ledger.Poison(part) {
			if !bad {
				s.refused++
			}
			return
		}
	}
	var up []*simServer
	for _, server := range s.servers {
		if s.now >= server.upAt {
			up = append(up, server)
		}
	}
	if len(up) == 0 {
		return
	}
	server := up[s.random.IntN(len(up))]
	s.lastID++
	first := s.now.Add(time.Duration(20+s.random.IntN(180)) * time.Millisecond)
	server.running = append(server.running, &simRequest{
		id: s.lastID, parts: parts, sent: s.now, first: first,
		done: first.Add(time.Duration(400+s.random.IntN(1200)) * time.Millisecond),
	})
}

func (s *simulation) advance(server *simServer) {
	if s.now < server.upAt {
		return
	}
	if s.random.Float64() < s.flapping*simStep.Seconds() {
		s.crash(server)
		return
	}
	for _, r := range server.running {
		if s.now < r.first {
			continue
		}
		if part, bad := s.isHarmful(r.parts); bad && !r.began {
			s.crashes[part] = append(s.crashes[part], s.now)
			s.crash(server)
			return
		}
		r.began = true
		if !r.lived && s.now.Sub(r.first) >= simLived {
			r.lived = true
			s.ledger.Answered(simService, r.first)
			for _, part := range r.parts {
				s.ledger.Served(part, Writing{At: r.first, Server: server.name})
			}
		}
	}
	server.running = slices.DeleteFunc(server.running, func(r *simRequest) bool { return s.now >= r.done })
}

func (s *simulation) crash(server *simServer) {
	server.life++
	e := core.ServerEnd{
		Life:    core.ServerLife{Instance: fmt.Sprint(server.name, "-", server.life)},
		Service: simService, Address: "at-" + server.name,
	}
	index := map[core.Fingerprint]int{}
	for i, r := range server.running {
		e.Requests = append(e.Requests, core.LostRequest{Fingerprint: r.id, Age: uint32(s.now.Sub(r.sent).Milliseconds()), Arrival: uint32(r.id)})
		if s.now >= r.first && s.now.Sub(r.first) >= simLived {
			continue
		}
		for depth, part := range r.parts {
			if _, known := index[part]; !known {
				index[part] = len(e.Parts)
				e.Parts = append(e.Parts, core.LostPart{Part: part, Depth: uint16(depth)})
			}
			at := index[part]
			e.Parts[at].Began = e.Parts[at].Began || s.now >= r.first
			e.Parts[at].Holders = append(e.Parts[at].Holders, uint16(i))
		}
	}
	server.running, server.upAt = nil, s.now.Add(simDown)
	s.ledger.Add(s.now, e)
}

// late returns how many servers ended under a part later than the time that users allow after the
// fifth end.
func (s *simulation) late(part core.Fingerprint) int {
	const counted, reaction = 5, 3 * time.Second
	n := 0
	for i, at := range s.crashes[part] {
		if i >= counted && at.Sub(s.crashes[part][counted-1]) > reaction {
			n++
		}
	}
	return n
}

// Guards against refusing sound requests because of parts that they share with harmful ones, or
// with requests at servers that crash by another cause, and against a harmful part that stays
// allowed: with few and with many requests at each server, few and many parts, two harmful parts
// at once, and parts that turn harmful after they were answered well.
func TestSoundPartsAreNotBlocked(t *testing.T) {
	// frequent is the most frequent part of the second position, which a quarter of all
	// requests hold; one in a hundred holds lessFrequent.
	const frequent, lessFrequent core.Fingerprint = 10_000, 10_030
	const soundRefusals = 0.001
	for name, c := range map[string]struct {
		harmful   map[core.Fingerprint]time.Duration
		flapping  float64
		perServer []int
	}{
		"one harmful part":            {harmful: map[core.Fingerprint]time.Duration{rareHarmful: 5 * time.Second}, perServer: []int{3, 8, 64}},
		"two harmful parts":           {harmful: map[core.Fingerprint]time.Duration{rareHarmful: 5 * time.Second, rareHarmful + 1: 5 * time.Second}, perServer: []int{3, 8, 64}},
		"turns harmful":               {harmful: map[core.Fingerprint]time.Duration{lessFrequent: 10 * time.Second}, perServer: []int{3, 8, 64}},
		"frequent, turns harmful":     {harmful: map[core.Fingerprint]time.Duration{frequent: 10 * time.Second}, perServer: []int{3, 8}},
		"servers crash by themselves": {flapping: 0.05, perServer: []int{3, 8, 64}},
		"harmful, and servers crash":  {harmful: map[core.Fingerprint]time.Duration{rareHarmful: 5 * time.Second}, flapping: 0.02, perServer: []int{3, 8, 64}},
	} {
		t.Run(name, func(t *testing.T) {
			refused, sound := 0, 0
			for _, perServer := range c.perServer {
				for _, depth := range []int{2, 5} {
					s := newSimulation(uint64(perServer), perServer, depth)
					for part, after := range c.harmful {
						s.harmful[part] = s.now.Add(after)
					}
					s.flapping = c.flapping
					s.run(25*time.Second, 700*time.Millisecond)
					for part, ends := range s.crashes {
						t.Logf("%d requests a server, %d parts: %d servers ended under %d", perServer, depth, len(ends), part)
						if late := s.late(part); late > 3 {
							t.Errorf("%d requests a server, %d parts: %d of %d servers ended under %d too late", perServer, depth, late, len(ends), part)
						}
					}
					refused, sound = refused+s.refused, sound+s.sound
				}
			}
			t.Logf("%d of %d sound requests were refused", refused, sound)
			if float64(refused) > soundRefusals*float64(sound) {
				t.Errorf("%d of %d sound requests were refused, allowed is a share of %g", refused, sound, soundRefusals)
			}
		})
	}
}
