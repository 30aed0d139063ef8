// Package transport opens and accepts connections, so that the same nodes run
// over TCP and, in tests, over in-memory connections under virtual time.
package transport

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Network opens and accepts connections.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// TCP is the Network of real processes.
type TCP struct{}

// dialTimeout bounds how long opening a TCP connection may take.
const dialTimeout = 2 * time.Second

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Listen implements Network. Multipath TCP, the default, takes no socket filter,
// which CloseListener needs.
func (TCP) Listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	return c.Listen(context.Background(), "tcp", address)
}

// idleConnTimeout closes idle HTTP connections.
const idleConnTimeout = 30 * time.Second

const (
	// silentAfter is how long an HTTP/2 connection may bring nothing until it is
	// probed, and probeTimeout how long the answer may take.
	silentAfter  = 3 * time.Second
	probeTimeout = time.Second
)

// HTTPClient returns an HTTP/1.1 client over n without redirects or proxies.
// perHost bounds the connections to one host; zero means no bound.
func HTTPClient(n Network, perHost int) *http.Client {
	return newClient(n, &http.Transport{MaxConnsPerHost: perHost, MaxIdleConnsPerHost: max(perHost, 16)})
}

// HTTP2Client returns an HTTP/2 client over n without redirects or proxies, for
// servers that are known to take HTTP/2 without TLS. All calls of a host share a
// connection, so it is probed: it may go silent for good while new ones work.
func HTTP2Client(n Network) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return newClient(n, &http.Transport{
		Protocols: &protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: silentAfter, PingTimeout: probeTimeout},
	})
}

func newClient(n Network, t *http.Transport) *http.Client {
	t.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) }
	t.IdleConnTimeout, t.DisableCompression = idleConnTimeout, true
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
