package scenario

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/tidwall/gjson"

	"nutmeglane.example/nutmeglane/internal/standin/engine"
)

// request is a caller's request that runs in the background.
type request struct {
	want string
	// resume is closed when a slow reader may continue; nil for other requests.
	resume chan struct{}
	// retries is set if the request is sent again after each Retry-After.
	retries bool
	begun   chan struct{}
	once    sync.Once
	done    chan struct{}

	// The fields below are set before done is closed.
	status int
	header http.Header
	text   string
	// failure is the result code at the end of a failed stream.
	failure string
	whole   bool
	err     error
}

func startRequest(ts *testscript.TestScript, id string, r *request, build func(context.Context) (*http.Request, error), read func(*request, io.Reader)) {
	r.begun, r.done = make(chan struct{}), make(chan struct{})
	stateOf(ts).requests[id] = r
	ctx, cancel := context.WithCancel(context.Background())
	ts.Defer(cancel)
	go func() {
		defer close(r.done)
		response, err := r.send(ctx, build)
		if err != nil {
			r.err = err
			return
		}
		defer func() { _ = response.Body.Close() }()
		r.status, r.header = response.StatusCode, response.Header
		read(r, response.Body)
	}()
}

// send sends the request and returns the response with its body unread. If
// retries is set, it waits for Retry-After and repeats the request.
func (r *request) send(ctx context.Context, build func(context.Context) (*http.Request, error)) (*http.Response, error) {
	for {
		req, err := build(ctx)
		if err != nil {
			return nil, err
		}
		response, err := r.client().Do(req)
		if err != nil || !r.retries {
			return response, err
		}
		seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
		if err != nil {
			return response, nil
		}
		_ = response.Body.Close()
		select {
		case <-time.After(time.Duration(seconds) * time.Second):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// slowReaderBuffer is the receive buffer of a slow reader in bytes. It is small,
// so that unread data stays with the sender.
const slowReaderBuffer = 64 << 10

func (r *request) client() *http.Client {
	if r.resume == nil {
		return http.DefaultClient
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err == nil {
			err = conn.(*net.TCPConn).SetReadBuffer(slowReaderBuffer)
		}
		return conn, err
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
}

func setHeaders(req *http.Request, key string, pairs []string) {
	req.Header.Set("Authorization", "Bearer "+key)
	for _, pair := range pairs {
		name, value, _ := strings.Cut(pair, "=")
		req.Header.Set(name, value)
	}
}

func chat(ts *testscript.TestScript, _ bool, args []string) { startChat(ts, &request{}, args) }

func slow(ts *testscript.TestScript, _ bool, args []string) {
	startChat(ts, &request{resume: make(chan struct{})}, args)
}

func insist(ts *testscript.TestScript, _ bool, args []string) {
	startChat(ts, &request{retries: true}, args)
}

func takes(ts *testscript.TestScript, _ bool, args []string) { close(requestOf(ts, args[0]).resume) }

func startChat(ts *testscript.TestScript, r *request, args []string) {
	id, entry, key, prompt := args[0], args[1], args[2], args[4]
	model, _, _ := strings.Cut(args[3], "@")
	tokens, err := strconv.Atoi(args[5])
	ts.Check(err)
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	ts.Check(err)
	r.want = strings.Join(engine.Answer(args[3], prompt, tokens), "")
	startRequest(ts, id, r, func(ctx context.Context) (*http.Request, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/chat/completions", strings.NewReader(string(body)))
		if err == nil {
			setHeaders(req, key, args[6:])
		}
		return req, err
	}, readEvents)
}

// readEvents reads server-sent events; it stores other bodies as text.
func readEvents(r *request, body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case isData && data == "[DONE]":
			r.whole = true
		case isData:
			r.failure = gjson.Get(data, "error.code").String()
			text := gjson.Get(data, "choices.0.delta.content").String()
			r.text += text
			if text != "" {
				r.once.Do(r.begin)
			}
		default:
			r.text += lines.Text()
		}
	}
	r.err = lines.Err()
}

func (r *request) begin() {
	close(r.begun)
	if r.resume != nil {
		<-r.resume
	}
}

func call(ts *testscript.TestScript, _ bool, args []string) {
	id, entry, key, method, path := args[0], args[1], args[2], args[3], args[4]
	startRequest(ts, id, &request{}, func(ctx context.Context) (*http.Request, error) {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, strings.NewReader("{}"))
		if err == nil {
			setHeaders(req, key, args[5:])
		}
		return req, err
	}, func(r *request, body io.Reader) {
		data, err := io.ReadAll(body)
		r.text, r.err, r.whole = string(data), err, err == nil
	})
}

func requestOf(ts *testscript.TestScript, id string) *request {
	r := stateOf(ts).requests[id]
	if r == nil {
		ts.Fatalf("no request %s", id)
	}
	return r
}

func waitForEnd(ts *testscript.TestScript, id string) *request {
	r := requestOf(ts, id)
	select {
	case <-r.done:
	case <-time.After(waitLimit):
		ts.Fatalf("request %s does not end", id)
	}
	return r
}

func end(ts *testscript.TestScript, _ bool, args []string) { ts.Logf("%v", waitForEnd(ts, args[0])) }

func (r *request) String() string {
	return fmt.Sprintf("status %d, whole %t, error %v, header %v, text:\n%s", r.status, r.whole, r.err, r.header, r.text)
}

func begun(ts *testscript.TestScript, _ bool, args []string) {
	r := requestOf(ts, args[0])
	select {
	case <-r.begun:
	case <-r.done:
		ts.Fatalf("request %s ended without a token: %v", args[0], r)
	case <-time.After(waitLimit):
		ts.Fatalf("request %s got no token", args[0])
	}
}

func whole(ts *testscript.TestScript, _ bool, args []string) {
	r := waitForEnd(ts, args[0])
	if r.err != nil || !r.whole || r.text != r.want {
		ts.Fatalf("request %s got no complete answer: %v\nwant:\n%s", args[0], r, r.want)
	}
}

func refused(ts *testscript.TestScript, _ bool, args []string) {
	r := waitForEnd(ts, args[0])
	if got := cmp.Or(r.header.Get("Nutmeglane-Code"), r.failure); got != args[1] {
		ts.Fatalf("request %s has code %s, want %s: %v", args[0], got, args[1], r)
	}
}

func answered(ts *testscript.TestScript, _ bool, args []string) {
	r := waitForEnd(ts, args[0])
	if got := strconv.Itoa(r.status); r.err != nil || !r.whole || got != args[1] {
		ts.Fatalf("call %s is not answered with %s: %v", args[0], args[1], r)
	}
}
