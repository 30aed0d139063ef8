package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// flagsOffset is the offset of the flags in a TCP header.
	flagsOffset = 13
	flagSYN     = 0x02
	flagACK     = 0x10
	// passAll is the result of a socket filter that passes the whole segment.
	passAll = 0xffffffff
)

// dropSYN is a classic BPF program for a listening socket. It drops the SYN segments
// that open a connection and passes all others, so that handshakes in progress
// complete.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagSYN | flagACK},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: flagSYN, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: passAll},
}

// dropNewConns makes the operating system drop new connections to l. It returns a
// function that returns the length of the accept queue, or always 0 if l is not a
// socket or takes no filter.
func dropNewConns(l net.Listener) (queued func() int) {
	none := func() int { return 0 }
	socket, ok := l.(syscall.Conn)
	if !ok {
		return none
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return none
	}
	program := unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]}
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if controlErr != nil || err != nil {
		klog.Warningf("transport: cannot attach a socket filter to stop new connections before closing the listener: %v", err)
		return none
	}
	return func() (n int) {
		raw.Control(func(fd uintptr) {
			// For a listening socket, tcpi_unacked is the length of the accept queue.
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				n = int(info.Unacked)
			}
		})
		return n
	}
}
