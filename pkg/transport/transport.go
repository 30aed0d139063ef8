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

// HTTPClient returns an HTTP client over n without redirects or proxies.
// perHost bounds the connections to one host; zero means no bound.
func HTTPClient(n Network, perHost int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return n.Dial(ctx, address)
			},
			MaxConnsPerHost:     perHost,
			MaxIdleConnsPerHost: max(perHost, 16),
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
