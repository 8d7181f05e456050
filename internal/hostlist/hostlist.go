// Package hostlist polls the platform's list of hosts: GET returns one core.Host as JSON
// per line.
package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/framing"
)

// DefaultTimeout is the default of Options.Timeout.
const DefaultTimeout = 5 * time.Second

// maxListBytes limits the memory that a list can use: at about 150 bytes per line, this is
// a hundred thousand hosts.
const maxListBytes = 16 << 20

// Options are the poller's settings; a zero field takes its default.
type Options struct {
	// Timeout limits the duration of one read.
	Timeout time.Duration
	// OnRead is called after each read. It must not block.
	OnRead func(err error)
}

// Poller posts the platform's list when it changes.
type Poller struct {
	url      string
	interval time.Duration
	post     func(core.Event)
	opts     Options
	client   *http.Client
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	// last is the last posted list, nil before the first, and etag its entity tag, if the
	// platform sent one.
	last []core.Host
	etag string
}

// NewPoller starts a poller of the URL. The first list and each list that differs from the
// previous one is posted as core.HostList, ordered by ID; nothing is posted after a failed
// read. post may block, but must return once Close was called.
func NewPoller(url string, interval time.Duration, post func(core.Event), opts Options) *Poller {
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.OnRead == nil {
		opts.OnRead = func(error) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Poller{
		url:      url,
		interval: interval,
		post:     post,
		opts:     opts,
		client:   &http.Client{Transport: framing.NewTransport(&http.Transport{MaxResponseHeaderBytes: framing.MaxHeadBytes})},
		ctx:      ctx,
		cancel:   cancel,
	}
	p.wg.Go(p.run)
	return p
}

// Close ends the poller.
func (p *Poller) Close() {
	p.cancel()
	p.wg.Wait()
	p.client.CloseIdleConnections()
}

func (p *Poller) run() {
	for p.ctx.Err() == nil {
		p.poll()
		p.pause()
	}
}

// pause waits for the interval plus or minus up to half of it, so that processes that were
// started together do not stay synchronized.
func (p *Poller) pause() {
	timer := time.NewTimer(p.interval/2 + rand.N(max(p.interval, 1)))
	defer timer.Stop()
	select {
	case <-p.ctx.Done():
	case <-timer.C:
	}
}

func (p *Poller) poll() {
	hosts, etag, err := p.read()
	if p.ctx.Err() != nil {
		return
	}
	p.opts.OnRead(err)
	if err != nil {
		// The connection may be dead: the next read dials.
		p.client.CloseIdleConnections()
		return
	}
	p.etag = etag
	if slices.Equal(hosts, p.last) {
		return
	}
	p.last = hosts
	p.post(core.HostList{Hosts: slices.Clone(hosts)})
}

// read returns the list and its entity tag. The platform does not send an unchanged list
// again: with thousands of hosts, it would be most of what a daemon receives.
func (p *Poller) read() ([]core.Host, string, error) {
	ctx, cancel := context.WithTimeout(p.ctx, p.opts.Timeout)
	defer cancel()
	request := sling.New().Get(p.url)
	if p.etag != "" {
		request.Set("If-None-Match", p.etag)
	}
	req, err := request.Request()
	if err != nil {
		return nil, "", errors.Wrap(err, "host list")
	}
	resp, err := p.client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, "", errors.Wrap(err, "host list")
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotModified && p.etag != "":
		return p.last, p.etag, nil
	case resp.StatusCode != http.StatusOK:
		return nil, "", errors.Newf("host list: status %d", resp.StatusCode)
	}
	if err := checkDelimited(resp); err != nil {
		return nil, "", err
	}
	hosts, err := parse(resp.Body)
	return hosts, resp.Header.Get("ETag"), err
}

// checkDelimited returns an error for an answer that is delimited only by the end of its
// connection.
//
// It guards against a list that is truncated at the end of a line: hosts missing in it
// would count as reclaimed, which proves that their slots are free. With a length or chunks
// the HTTP client reports the truncation as an error.
func checkDelimited(resp *http.Response) error {
	if resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked") {
		return nil
	}
	return errors.New("host list: answer without a length may be truncated")
}

// parse reads a list. Any invalid line makes the whole list invalid, and so does an empty
// list: the platform runs at least the host that reads it.
func parse(body io.Reader) ([]core.Host, error) {
	limited := &io.LimitedReader{R: body, N: maxListBytes + 1}
	lines := json.NewDecoder(limited)
	var hosts []core.Host
	for {
		var h core.Host
		err := lines.Decode(&h)
		if limited.N == 0 {
			return nil, errors.Newf("host list: over %d bytes", maxListBytes)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Wrap(err, "host list")
		}
		hosts = append(hosts, h)
	}
	return hosts, check(hosts)
}

func check(hosts []core.Host) error {
	if len(hosts) == 0 {
		return errors.New("host list: empty")
	}
	slices.SortFunc(hosts, func(a, b core.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for i, h := range hosts {
		if h.ID == "" || (h.State != core.HostLive && h.State != core.HostLeaving) {
			return errors.Newf("host list: host %q in state %q", h.ID, h.State)
		}
		if i > 0 && hosts[i-1].ID == h.ID {
			return errors.Newf("host list: host %q is listed twice", h.ID)
		}
	}
	return nil
}
