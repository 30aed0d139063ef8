package transport

import (
	"net"
	"sync"
)

// ReservingNetwork is a Network that can open a listener in advance, for programs
// that need the address of a server before the server starts. It is safe for
// concurrent use.
type ReservingNetwork struct {
	Network

	mu       sync.Mutex
	reserved map[string]net.Listener
}

// NewReservingNetwork returns a ReservingNetwork over n.
func NewReservingNetwork(n Network) *ReservingNetwork {
	return &ReservingNetwork{Network: n, reserved: make(map[string]net.Listener)}
}

// Reserve listens on a free port of host, an IP address, and returns the address.
// The first call of Listen for that address returns this listener, so that no other
// process can take the port in between.
func (r *ReservingNetwork) Reserve(host string) (string, error) {
	l, err := r.Network.Listen(net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	address := l.Addr().String()
	r.reserved[address] = l
	return address, nil
}

// Listen implements Network.
func (r *ReservingNetwork) Listen(address string) (net.Listener, error) {
	r.mu.Lock()
	l, ok := r.reserved[address]
	delete(r.reserved, address)
	r.mu.Unlock()
	if ok {
		return l, nil
	}
	return r.Network.Listen(address)
}

// Close closes the reserved listeners that Listen has not returned.
func (r *ReservingNetwork) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.reserved {
		l.Close()
	}
	clear(r.reserved)
	return nil
}
