package ingress

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// receiveBufferBytes is the receive buffer of a caller's connection, in bytes, of which the
	// kernel doubles the size for its own records. What it has received and nobody has read counts
	// towards the process's memory. A body of 256 KiB takes some 30 round trips.
	receiveBufferBytes = 8 << 10
	// receivedBytes is the most that the kernel receives into such a buffer.
	receivedBytes = receiveBufferBytes * 3 / 2
	// backlogShare is the part of the process's memory for connections that are not accepted yet:
	// 768 on the smallest machine. Callers that find no place connect again after a second.
	backlogShare = 16
	// unknownBacklog is the number of these connections where the process's memory is not known,
	// and minBacklog the least number.
	unknownBacklog = 1024
	minBacklog     = 64
)

// maxBacklog returns the number of connections that may wait to be accepted.
func maxBacklog(m Machine) int {
	if m.MemoryBytes <= 0 {
		return unknownBacklog
	}
	return max(minBacklog, int(m.MemoryBytes/backlogShare/receivedBytes))
}

// LimitProbes bounds what the kernel holds for a listener for readiness checks or metrics, which
// come one by one.
func LimitProbes(l net.Listener) { limitKernel(l, minBacklog) }

// limitKernel bounds the bytes that the kernel holds for the connections of a listener: those of
// few connections that are not accepted yet, and a small buffer for each connection. It must be
// called before clients connect. A listener without a socket is left as it is.
func limitKernel(l net.Listener, backlog int) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err == nil {
		var limitErr error
		err = raw.Control(func(fd uintptr) {
			// Connections inherit the buffer size. A further call of listen changes the backlog, for
			// which package net has no setting.
			limitErr = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes), unix.Listen(int(fd), backlog))
		})
		err = errors.Join(err, limitErr)
	}
	if err != nil {
		klog.InfoS("ingress: what the kernel receives is not limited", "address", l.Addr().String(), "err", err)
	}
}
