package gateway

import (
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// raceServer serves streams of eight events from the asked one on. It pauses after a drawn event for
// about as long as it takes until the stream is hedged, and answers hedges in a drawn way.
func raceServer(random func(n int) int) func(net.Conn) {
	const stall = time.Second
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		head := readRequest(conn)
		from := 1
		if _, after, found := strings.Cut(head, "Last-Event-Id: "); found {
			id, _, _ := strings.Cut(after, "\r\n")
			from, _ = strconv.Atoi(id)
			from++
		}
		pauseBefore, pause := 0, time.Duration(0)
		if from == 1 {
			pauseBefore, pause = 2+random(7), stall-20*time.Millisecond+time.Duration(random(400))*time.Millisecond
		} else {
			time.Sleep(time.Duration(random(350)) * time.Millisecond)
		}
		if from > 1 && random(4) == 0 {
			return // without an answer
		}
		_, _ = io.WriteString(conn, answerHead("r1", streamHead))
		for n := from; n <= 8; n++ {
			if n == pauseBefore {
				time.Sleep(pause)
			}
			if _, err := io.WriteString(conn, chunk(event(n))); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// Guards against a stream with an event twice or missing, or one that is cut, when its first server
// continues in the moment in which another one brings the next event.
func TestRacingServersGiveAWholeStream(t *testing.T) {
	const streams = 90 // within the budget of retries
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(1, 1))
	random := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return source.IntN(n)
	}
	serve := raceServer(random)
	s := newFixture(t, serve, serve, serve)
	want := events(1, 8)
	var calling sync.WaitGroup
	for i := range streams {
		calling.Go(func() {
			raw, err := s.takeUp("0")
			got, err := parseAnswer(raw, err)
			if err != nil || got != want {
				t.Errorf("stream %d: %v, %q", i, err, got)
			}
		})
	}
	calling.Wait()
	if n := s.requests(); n != 0 {
		t.Errorf("the router holds %d requests", n)
	}
}
