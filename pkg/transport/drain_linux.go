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
	passAll     = 0xffffffff
)

// dropSYN is a classic BPF program for a listening socket. It drops the segments
// that begin a connection and passes all others, so that a handshake under way
// completes.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagSYN | flagACK},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: flagSYN, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: passAll},
}

// refuseNew makes the kernel drop new connections to l, and returns how many wait
// to be accepted.
func refuseNew(l net.Listener) (queued func() int) {
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
		klog.Warningf("transport: cannot turn new connections away before closing: %v", err)
		return none
	}
	return func() (n int) {
		raw.Control(func(fd uintptr) {
			// For a listening socket this field is the length of its queue.
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				n = int(info.Unacked)
			}
		})
		return n
	}
}
