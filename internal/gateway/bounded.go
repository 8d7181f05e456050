package gateway

import (
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// maxStrayBytes bounds what is read of an answer to another request before the attempt fails.
	maxStrayBytes = 1 << 20
	// maxAnswerBytes bounds the body of an answer, a stream too. Callers get answers of some KB.
	maxAnswerBytes = 16 << 20
)

// errTooLong means that a server sent more than is read of an answer.
var errTooLong = errors.New("the answer is too long")

// boundedConn is a connection that is read up to a number of bytes. It is used by one goroutine.
//
// It guards against a server that sends without end, in a head, where it would take the process's
// memory, or in a body, where it would take its processor time until the request's deadline.
type boundedConn struct {
	net.Conn
	// left is the number of bytes that may still be read.
	left int64
}

// allow sets the number of bytes that may be read from now on.
func (b *boundedConn) allow(bytes int64) { b.left = bytes }

// Read implements net.Conn.
func (b *boundedConn) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.Conn.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}
