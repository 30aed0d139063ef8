package transport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// Ports that FreeAddress picks from. They lie below the range from which
// systems take the ports of outgoing connections, so that none of these takes a
// picked port before it is listened on.
const (
	lowestFreePort  = 20000
	highestFreePort = 31999
	// freePortTries bounds the ports that are tried.
	freePortTries = 200
)

// FreeAddress returns an address of host, an IP number, on which nothing listens.
func FreeAddress(host string) (string, error) {
	var last error
	for range freePortTries {
		port := lowestFreePort + rand.IntN(highestFreePort-lowestFreePort+1)
		address := net.JoinHostPort(host, strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
		last = err
	}
	return "", fmt.Errorf("transport: no free port on %s: %w", host, last)
}
