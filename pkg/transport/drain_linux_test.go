package transport

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// TestCloseListenerCutsNothing closes a listener while an established connection
// waits in the accept queue. It must still be accepted and answered, and no new
// connection may be established meanwhile.
func TestCloseListenerCutsNothing(t *testing.T) {
	l, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	io.WriteString(caller, "request")
	closed := make(chan error, 1)
	go func() { closed <- CloseListener(context.Background(), l) }()
	// The queue is polled several times before the server accepts.
	time.Sleep(handshakeTimeout + 10*queuePollInterval)
	if late, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond); err == nil {
		late.Close()
		t.Error("a new connection was established while the listener was closing")
	}
	server, err := l.Accept()
	if err != nil {
		t.Fatalf("accept the queued connection: %v", err)
	}
	request := make([]byte, len("request"))
	if _, err := io.ReadFull(server, request); err != nil || string(request) != "request" {
		t.Errorf("the server got %q, %v", request, err)
	}
	io.WriteString(server, "answer")
	server.Close()
	if err := <-closed; err != nil {
		t.Error(err)
	}
	if answer, err := io.ReadAll(caller); err != nil || string(answer) != "answer" {
		t.Errorf("the caller got %q, %v", answer, err)
	}
	if late, err := net.Dial("tcp", l.Addr().String()); err == nil {
		late.Close()
		t.Error("the listener is still open")
	}
}
