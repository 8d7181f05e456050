package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// framing is how an answer marks its end.
type framing int

const (
	byLength framing = iota
	byChunks
	// untilClose means that the answer ends with its connection.
	untilClose
	framings
)

const lastChunk = "0\r\n\r\n"

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// reply is an answer with status 200 of a stand-in for a backend server.
type reply struct {
	// pieces are the events of a stream or the body of another answer. pause follows each.
	pieces  []string
	pause   time.Duration
	stream  bool
	framing framing
	// stands returns once the server's process runs, nil if it always does.
	stands func()
	// cut is where the answer breaks off, nil if it is complete.
	cut *cut
	// completes is called before the last bytes of a complete answer are sent.
	completes func()
}

// send sends the answer. Complete answers with a length or chunks are framed by net/http, which
// then keeps the connection open.
func (p reply) send(w http.ResponseWriter, r *http.Request) {
	if p.cut == nil && p.framing != untilClose {
		p.sendFramed(w, r)
		return
	}
	p.sendRaw(w, r)
}

func (p reply) sendFramed(w http.ResponseWriter, r *http.Request) {
	if p.framing == byLength {
		w.Header().Set("Content-Length", strconv.Itoa(contentLength(p.pieces)))
	}
	p.write(r.Context(), flusher{w}, append([]string{""}, p.pieces...))
}

// flusher sends each write to the client at once.
type flusher struct{ http.ResponseWriter }

func (f flusher) Write(data []byte) (int, error) {
	n, err := f.ResponseWriter.Write(data)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return n, err
}

// sendRaw writes the bytes of the answer to its connection and closes that.
//
// Until the answer has been written, each close of the connection is a reset. Otherwise an
// answer that ends with its connection would look complete when its server crashes.
func (p reply) sendRaw(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*net.TCPConn)
	_ = conn.SetLinger(0) // fails only on a closed connection
	p.write(r.Context(), conn, p.steps(w.Header()))
	if p.cut == nil || p.cut.ending != resets {
		_ = conn.SetLinger(-1)
	}
	panic(http.ErrAbortHandler) // net/http closes the connection and sends nothing
}

// write writes the steps of an answer, the first of which is the head. It closes the connection
// if the router has left.
func (p reply) write(ctx context.Context, to io.Writer, steps []string) {
	for i, step := range steps {
		if i == len(steps)-1 && p.cut == nil {
			p.completes()
		}
		if p.stands != nil && i > 0 {
			p.stands()
		}
		if _, err := io.WriteString(to, step); err != nil || ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if i > 0 {
			time.Sleep(p.pause)
		}
	}
}

// steps returns the bytes of the answer up to the point where it breaks off, if it does.
func (p reply) steps(header http.Header) []string {
	head := p.head(header)
	if p.cut == nil {
		return p.frame([]string{head}, p.pieces)
	}
	if p.cut.place == insideHead {
		return []string{head[:1+rand.IntN(len(head)-1)]}
	}
	steps := p.frame([]string{head}, p.pieces[:p.cut.pieces])
	if p.cut.part > 0 {
		steps = append(steps, p.framePart())
	}
	if p.cut.ending == marksEnd && p.framing == byChunks {
		steps = append(steps, lastChunk)
	}
	return steps
}

func (p reply) head(header http.Header) string {
	header = header.Clone()
	switch {
	case p.framing == byChunks:
		header.Set("Transfer-Encoding", "chunked")
	case p.framing == untilClose && rand.IntN(2) == 0:
		header.Set("Connection", "close")
	case p.framing == byLength && p.cut.ending == marksEnd:
		header.Set("Content-Length", strconv.Itoa(contentLength(p.pieces[:p.cut.pieces])+p.cut.part))
	case p.framing == byLength:
		header.Set("Content-Length", strconv.Itoa(contentLength(p.pieces)))
	}
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(&b) // a strings.Builder accepts all writes
	return b.String() + "\r\n"
}

func (p reply) frame(steps, pieces []string) []string {
	for _, piece := range pieces {
		if p.framing == byChunks {
			piece = chunk(piece)
		}
		steps = append(steps, piece)
	}
	return steps
}

// framePart returns the part of a piece at which the answer breaks off: with chunks, a complete
// chunk or the beginning of one.
func (p reply) framePart() string {
	piece := p.pieces[p.cut.pieces]
	part := piece[:p.cut.part]
	switch {
	case p.framing != byChunks:
		return part
	case p.cut.ending == marksEnd || rand.IntN(2) == 0:
		return chunk(part)
	default:
		return strings.TrimSuffix(chunk(piece), piece[p.cut.part:]+"\r\n")
	}
}

func contentLength(pieces []string) int { return len(strings.Join(pieces, "")) }

type connKey struct{}

// withConn is a ConnContext of http.Server that makes connections available to handlers.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}
