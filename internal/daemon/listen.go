package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// internalHeaderBytes is the limit of a head on all listeners but the callers', internalIdleTimeout
	// the time after which their idle connections are closed.
	internalHeaderBytes = 16 << 10
	internalIdleTimeout = 2 * time.Minute
)

// newInternalServer returns a server for other processes, operators and the load balancer, who may
// neither send heads without end nor hold connections that they don't use.
func newInternalServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: shutdownTimeout,
		MaxHeaderBytes: internalHeaderBytes, IdleTimeout: internalIdleTimeout,
	}
}

// callerReceiveBytes is the kernel's receive buffer of a caller's connection. What has been received
// and not read takes the machine's memory, too: without a limit the kernel lets each connection hold
// megabytes.
const callerReceiveBytes = 32 << 10

// listen opens a TCP listener. For port 0 the system chooses a free port.
func listen(address netip.AddrPort) (net.Listener, error) {
	return listenWith(net.ListenConfig{}, address)
}

// listenForCallers opens a listener whose connections have bounded receive buffers.
func listenForCallers(address netip.AddrPort) (net.Listener, error) {
	return listenWith(net.ListenConfig{Control: boundReceiveBuffer}, address)
}

func listenWith(config net.ListenConfig, address netip.AddrPort) (net.Listener, error) {
	l, err := config.Listen(context.Background(), "tcp", address.String())
	return l, errors.Wrapf(err, "listen on %s", address)
}

// boundReceiveBuffer sets the receive buffer of a listener, from which its connections take theirs.
func boundReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, callerReceiveBytes)
	})
	return errors.CombineErrors(err, failed)
}
