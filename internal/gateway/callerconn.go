package gateway

import (
	"context"
	"net"
	"sync/atomic"
)

// connKey is the key of a caller's connection in the contexts of its requests.
type connKey struct{}

// callerConn is what is known of a caller's connection.
type callerConn struct{ used atomic.Bool }

// WithConn returns a context in which the first request of a connection can be told from later
// ones. It is the ConnContext of a server whose Handler is a Gateway.
func WithConn(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &callerConn{})
}

// firstOfConn reports whether a request is the first of its connection, and false without WithConn.
func firstOfConn(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && !c.used.Swap(true)
}
