// Package ingress bounds what callers can make a node hold: connections, headers, bodies and
// their decoded form. Callers are not trusted. A Gate wraps the listener and the handler of an
// HTTP server; the budget in it decides who gives way when the memory or the descriptors set
// aside for callers are used up. See docs/design/clients.md.
package ingress

import (
	"fmt"
	"time"
)

const (
	// connBytes is what a connection holds beside its header and body: the stacks of its two
	// goroutines, the buffers of net/http of 4 KiB each way and of 2 KiB for a response, and the
	// request.
	connBytes = 24 << 10
	// headerAllowance is the part of a header that connBytes covers: the read buffer.
	headerAllowance = 4 << 10
	// headerFactor is how often the rest of a header is held: in the buffers in which net/http
	// collects it, and as strings.
	headerFactor = 2
	// memoryShare is the part of the process's memory for callers. A node's own state
	// takes up to 30 % where nodes can lead, and the runtime's soft limit is at one half.
	memoryShare = 5
	// unknownMemory is the budget where the process's memory is not known, in bytes.
	unknownMemory = 64 << 20
	// minMemory is the least budget in bytes: a body of the usual limit of 256 KiB, read and
	// decoded, beside some dozen connections.
	minMemory = 4 << 20
	// reservedDescriptors are the descriptors that the platform reserves for files.
	reservedDescriptors = 200
	// descriptorShare is the part of the other descriptors for callers. The rest is for a
	// leader's connections to workers and nodes: some 3,700 on a site of 299 nodes, where a
	// leader has 8,192 descriptors.
	descriptorShare = 3
	// minConnections is the least number of connections that descriptors may allow.
	minConnections = 16
	// decoders is the number of large bodies that are decoded at a time. Decoding does not block,
	// and a node has about one core.
	decoders = 1
)

// Options are the limits that an operator of the process may set.
type Options struct {
	MemoryMB       int           `long:"caller-memory" env:"SHALLOTPIN_CALLER_MEMORY" default:"0" description:"memory in MB for connections, headers and bodies of callers, 4 to 65536; 0: a fifth of the process's memory, or 64"`
	MaxConnections int           `long:"caller-connections" env:"SHALLOTPIN_CALLER_CONNECTIONS" default:"0" description:"most connections of callers, 16 to 1000000; 0: a third of the process's descriptors, or no limit"`
	BodyTimeout    time.Duration `long:"body-timeout" env:"SHALLOTPIN_BODY_TIMEOUT" default:"10s" description:"longest time for a request's body, 1s to 10m"`
	HeaderTimeout  time.Duration `long:"header-timeout" env:"SHALLOTPIN_HEADER_TIMEOUT" default:"3s" description:"longest time for a request's header unless the configuration has one, 100ms to 1m"`
	IdleTimeout    time.Duration `long:"idle-timeout" env:"SHALLOTPIN_IDLE_TIMEOUT" default:"15s" description:"how long idle connections of callers stay open unless the configuration says so, 1s to 10m"`
	HeaderBytes    int           `long:"header-bytes" env:"SHALLOTPIN_HEADER_BYTES" default:"65536" description:"largest header unless the configuration has a limit, 4096 to 1048576"`
}

// Ranges of the limits, also of those in a configuration.
const (
	maxMemoryMB      = 65536
	maxConnections   = 1_000_000
	minBodyTimeout   = time.Second
	maxBodyTimeout   = 10 * time.Minute
	minHeaderTimeout = 100 * time.Millisecond
	maxHeaderTimeout = time.Minute
	minIdleTimeout   = time.Second
	maxIdleTimeout   = 10 * time.Minute
	minHeaderBytes   = 4 << 10
	maxHeaderBytes   = 1 << 20
)

// DefaultOptions returns the options that hold where nothing else is set.
func DefaultOptions() Options {
	return Options{BodyTimeout: 10 * time.Second, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, HeaderBytes: 64 << 10}
}

// Problems returns one message for each option that cannot be used.
func (o *Options) Problems() []string {
	var problems []string
	check := func(flag string, bad bool, value, low, high any) {
		if bad {
			problems = append(problems, fmt.Sprintf("%s: %v is not between %v and %v", flag, value, low, high))
		}
	}
	duration := func(flag string, value, low, high time.Duration) {
		check(flag, value < low || value > high, value, low, high)
	}
	number := func(flag string, value, low, high int) { check(flag, value < low || value > high, value, low, high) }
	if o.MemoryMB != 0 {
		number("--caller-memory", o.MemoryMB, minMemory>>20, maxMemoryMB)
	}
	if o.MaxConnections != 0 {
		number("--caller-connections", o.MaxConnections, minConnections, maxConnections)
	}
	duration("--body-timeout", o.BodyTimeout, minBodyTimeout, maxBodyTimeout)
	duration("--header-timeout", o.HeaderTimeout, minHeaderTimeout, maxHeaderTimeout)
	duration("--idle-timeout", o.IdleTimeout, minIdleTimeout, maxIdleTimeout)
	number("--header-bytes", o.HeaderBytes, minHeaderBytes, maxHeaderBytes)
	return problems
}

// Machine is what the process may use in all; 0 means unknown.
type Machine struct {
	MemoryBytes int64
	Descriptors int
}

// maxBytes returns the budget for all callers.
func (o *Options) maxBytes(m Machine) int64 {
	switch {
	case o.MemoryMB > 0:
		return int64(o.MemoryMB) << 20
	case m.MemoryBytes > 0:
		return max(minMemory, m.MemoryBytes/memoryShare)
	}
	return unknownMemory
}

// maxHolders returns the greatest number of connections, 0 for no limit.
func (o *Options) maxHolders(m Machine) int {
	switch {
	case o.MaxConnections > 0:
		return o.MaxConnections
	case m.Descriptors > 0:
		return max(minConnections, (m.Descriptors-reservedDescriptors)/descriptorShare)
	}
	return 0
}

// Limits are the limits that a configuration may change while the process runs. A value of 0
// means that of the options.
type Limits struct {
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration
}

// limits returns l with the options in place of what is not set, and within the ranges.
func (o *Options) limits(l Limits) Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = o.HeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = o.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = o.IdleTimeout
	}
	l.HeaderBytes = min(max(l.HeaderBytes, minHeaderBytes), maxHeaderBytes)
	l.HeaderTimeout = min(max(l.HeaderTimeout, minHeaderTimeout), maxHeaderTimeout)
	l.IdleTimeout = min(max(l.IdleTimeout, minIdleTimeout), maxIdleTimeout)
	return l
}
