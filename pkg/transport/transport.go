// Package transport abstracts the network, so that nodes run over TCP in production
// and over in-memory connections under virtual time in tests. It also builds the
// HTTP clients and closes listeners without resetting connections.
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

// TCP is the Network that uses TCP sockets.
type TCP struct{}

// dialTimeout bounds the opening of a TCP connection.
const dialTimeout = 2 * time.Second

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Listen implements Network. It disables Multipath TCP, Go's default, because its
// sockets do not support the socket filter that CloseListener attaches.
func (TCP) Listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	return c.Listen(context.Background(), "tcp", address)
}

// idleConnTimeout is the time after which an idle HTTP connection is closed.
const idleConnTimeout = 30 * time.Second

const (
	// http2PingAfter is the time without received data after which an HTTP/2
	// connection is pinged, and http2PingTimeout bounds the wait for the answer.
	http2PingAfter   = 3 * time.Second
	http2PingTimeout = time.Second
)

// HTTPClient returns an HTTP/1.1 client over n that follows no redirects and uses no
// proxy. perHost limits the connections to one host; zero means no limit.
func HTTPClient(n Network, perHost int) *http.Client {
	return newClient(n, &http.Transport{MaxConnsPerHost: perHost, MaxIdleConnsPerHost: max(perHost, 16)})
}

// HTTP2Client returns an HTTP/2 client over n that follows no redirects and uses no
// proxy, for servers that support HTTP/2 without TLS. All calls to a host share one
// connection. It is checked by pings and replaced if they fail, since it may stop
// delivering data for ever while new connections work.
func HTTP2Client(n Network) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return newClient(n, &http.Transport{
		Protocols: &protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: http2PingAfter, PingTimeout: http2PingTimeout},
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
