package trial2

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// pieces is a stream as its client has it, over all its attempts.
type pieces struct {
	first string
	last  int
	// until is when the client gives up.
	until    time.Time
	versions map[string]bool
	whole    bool
	// began and wentOn are set once an event came in the first attempt, and after the stream was taken up.
	began, wentOn bool
}

func newPieces() *pieces {
	return &pieces{versions: map[string]bool{}, until: time.Now().Add(20 * time.Second)}
}

// draft sends an attempt of a stream, from its start or after the last event that came, and reads it. It
// returns the status, and how long the client is asked to wait.
func (w *world) draft(ctx context.Context, p *process, s *pieces) (status int, wait time.Duration) {
	id := newID()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.ip+":8149/draft/x", strings.NewReader("a draft"))
	if err != nil {
		panic(err)
	}
	q.Host = "shop.example"
	q.Header.Set("Nutmeglane-Request-Id", id)
	q.Header.Set("Nutmeglane-Deadline-Ms", fmt.Sprint(time.Until(s.until).Milliseconds()))
	q.Header.Set("Nutmeglane-Model", "model-a")
	q.Header.Set("Nutmeglane-Token-Count", "600,80")
	q.Header.Set("Nutmeglane-Prompt-Prefix", "aa01:400,"+id+":200")
	resumes := s.first != ""
	if resumes {
		q.Header.Set("Resumes", s.first)
		q.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(q)
	if err != nil {
		w.rec.detail("client: %s at %s: %v", id, p.name, err)
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		line, _ := bufio.NewReader(response.Body).ReadString('\n')
		w.rec.detail("client: %s at %s, resumes %q after %d: status %d, retry after %.3f s: %s", id, p.name, s.first, s.last, response.StatusCode, seconds, line)
		return response.StatusCode, time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var n, of int
		var version string
		if _, err := fmt.Sscanf(lines.Text(), "data: piece %d of %d by %s", &n, &of, &version); err != nil {
			continue
		}
		if n != s.last+1 {
			w.rec.log("client: %s got event %d after %d", id, n, s.last)
		}
		s.last, s.whole, s.versions[version] = n, n == of, true
		if !s.began {
			s.began, s.first = true, id
		}
		s.wentOn = s.wentOn || resumes
	}
	w.rec.detail("client: %s at %s, resumes %t: has events up to %d, whole %t", id, p.name, resumes, s.last, s.whole)
	return response.StatusCode, 0
}

// takenUp: replicas of two versions serve side by side. The loaders are restarted in turn while
// streams run; then the router that passes the streams on stops, and their clients take them up at another.
func takenUp(w *world, trouble bool) (int, error) {
	w.prepare = func(n int, r *replica) {
		if r.engine {
			r.events, r.pause = 80, 200*time.Millisecond
			if n%2 == 0 {
				r.version = "v2"
			}
		}
	}
	if err := w.deploy(3, 1, 4, 30*time.Millisecond); err != nil {
		return 0, err
	}
	const streams = 24
	ctx, cancel := context.WithTimeout(w.ctx, 60*time.Second)
	defer cancel()
	stopping, others := w.routers[0], w.routers[1:]
	drafts := make([]*pieces, streams)
	var begun sync.WaitGroup
	for i := range drafts {
		drafts[i] = newPieces()
		begun.Go(func() { w.draft(ctx, stopping, drafts[i]) })
	}
	w.rec.log("clients: begin %d streams at %s", streams, stopping.name)
	time.Sleep(time.Second)
	if trouble {
		for _, p := range w.loaders {
			w.rec.log("platform: SIGTERM to %s", p.name)
			p.signal(syscall.SIGTERM)
			<-p.ended
			if err := p.start(); err != nil {
				return 0, err
			}
			time.Sleep(time.Second)
		}
	} else {
		time.Sleep(4 * time.Second)
	}
	w.rec.log("platform: SIGTERM to %s, SIGKILL 8 s later", stopping.name)
	stopping.signal(syscall.SIGTERM)
	kill := time.AfterFunc(8*time.Second, func() { stopping.signal(syscall.SIGKILL) })
	defer kill.Stop()
	begun.Wait()
	<-stopping.ended
	if err := stopping.start(); err != nil {
		return 0, err
	}
	cut := 0
	var again sync.WaitGroup
	for i, s := range drafts {
		if s.whole || !s.began {
			continue
		}
		cut++
		again.Go(func() {
			for try := range 4 {
				status, wait := w.draft(ctx, others[(i+try)%len(others)], s)
				if s.whole || status == 400 || status == 404 || time.Now().After(s.until) {
					return
				}
				time.Sleep(max(wait, 50*time.Millisecond))
			}
		})
	}
	w.rec.log("clients: %d streams broke off; they take them up at the other routers", cut)
	fresh := make([]*pieces, 12)
	for i := range fresh {
		fresh[i] = newPieces()
		again.Go(func() { w.draft(ctx, others[i%len(others)], fresh[i]) })
	}
	again.Wait()
	wentOn, joined, newBegan := 0, 0, 0
	for _, s := range drafts {
		if s.wentOn {
			wentOn++
		}
		if len(s.versions) > 1 {
			joined++
		}
	}
	for _, s := range fresh {
		if s.began {
			newBegan++
		}
	}
	for _, p := range w.routers {
		p.saw("release that began", "releases of a service", "loader connected", "loader lost")
	}
	w.rec.log("streams taken up: %d, of which went on: %d; new streams: %d, of which began: %d; streams of two versions: %d", cut, wentOn, len(fresh), newBegan, joined)
	if cut < 12 {
		return 0, fmt.Errorf("only %d streams broke off", cut)
	}
	if joined > 2 || float64(wentOn)/float64(cut) < 0.5*float64(newBegan)/float64(len(fresh)) {
		return broken, nil
	}
	return held, nil
}
