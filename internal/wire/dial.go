package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"nutmeglane.example/nutmeglane/internal/core"
)

// dial starts a handshake with a peer unless one with the same address is in
// progress.
func (n *Node) dial(peer core.HostID, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.pending[peer]; h != nil && h.address == address {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.opts.DialTimeout)
	h := &handshake{address: address, cancel: cancel}
	if !n.beginHandshake(peer, h) {
		cancel()
		return
	}
	n.tasks.Go(func() { n.connect(ctx, peer, h) })
}

func (n *Node) connect(ctx context.Context, peer core.HostID, h *handshake) {
	defer h.cancel()
	l, err := n.handshake(ctx, peer, h.address)
	if err != nil {
		n.opts.Log.Debug("dial failed", "peer", peer, "address", h.address, "error", err)
		n.failHandshake(peer, h)
		return
	}
	if !n.finishHandshake(h, l) {
		l.discard()
	}
}

func (n *Node) handshake(ctx context.Context, peer core.HostID, address string) (*link, error) {
	var tcp *meteredConn
	var tlsConfig *tls.Config
	if n.opts.TLS != nil {
		tlsConfig = n.opts.TLS()
	}
	// Each dial has its own transport, because connections are not pooled. The TCP
	// dial uses ctx directly, so that it ends with ctx even where the transport
	// would let it continue.
	transport := &http.Transport{
		DisableKeepAlives: true,
		TLSClientConfig:   tlsConfig,
		DialContext: func(_ context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			tcp = &meteredConn{Conn: conn, metrics: n.opts.Metrics}
			return tcp, nil
		},
	}
	conn, response, err := websocket.Dial(ctx, n.url(address), &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport},
		HTTPHeader: n.identity(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	host, incarnation, err := parseIdentity(response.Header)
	if err == nil && host != peer {
		// The address of a replaced host may have been assigned to another host.
		// Requests would reach a process that does not own the slot.
		err = errors.Newf("dialled %s, but %s answered", peer, host)
	}
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	l := newLink(n, peer, incarnation, conn, tcp)
	l.dialled = true
	return l, nil
}

func (n *Node) url(address string) string {
	scheme := "ws://"
	if n.opts.TLS != nil {
		scheme = "wss://"
	}
	return scheme + address + Path
}

// Headers of the handshake request and response that identify the sender.
const (
	HeaderHost        = "Nutmeglane-Host"
	HeaderIncarnation = "Nutmeglane-Incarnation"
)

func (n *Node) identity() http.Header {
	header := http.Header{}
	header.Set(HeaderHost, string(n.opts.Host))
	header.Set(HeaderIncarnation, strconv.FormatUint(uint64(n.opts.Incarnation), 10))
	return header
}

func parseIdentity(header http.Header) (core.HostID, core.Incarnation, error) {
	host := core.HostID(header.Get(HeaderHost))
	if host == "" {
		return "", 0, errors.Newf("header %s is missing", HeaderHost)
	}
	incarnation, err := strconv.ParseUint(header.Get(HeaderIncarnation), 10, 64)
	if err != nil || incarnation == 0 {
		return "", 0, errors.Newf("header %s is not a positive integer", HeaderIncarnation)
	}
	return host, core.Incarnation(incarnation), nil
}
