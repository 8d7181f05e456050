package framing

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// wasReset reports whether a TCP connection that the peer has closed was reset, or whether the peer has
// not received all that was written. It is false where the system doesn't tell.
//
// It covers a reset whose error another goroutine's write takes at the same moment, and one that comes
// behind an orderly close.
func wasReset(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	err = raw.Control(func(fd uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || info == nil {
		return false
	}
	return info.State == unix.BPF_TCP_CLOSE || info.Unacked > 0 || info.Notsent_bytes > 0
}
