package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/memnet"
)

// Echo is an rpc receiver.
type Echo struct{}

// Say replies with its argument.
func (Echo) Say(args *string, reply *string) error {
	*reply = *args
	return nil
}

// stuckNetwork opens connections whose other end never reads.
type stuckNetwork struct{ *memnet.Host }

func (stuckNetwork) Dial(context.Context, string) (net.Conn, error) {
	client, _ := net.Pipe()
	return client, nil
}

// TestCallToStuckPeerEndsWithItsContext checks that Call returns when its context
// ends although the peer never reads, so that the write of net/rpc blocks.
func TestCallToStuckPeerEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(stuckNetwork{memnet.New(nil).Host("a")}, "10.0.0.1:1")
		for range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			began := time.Now()
			args, reply := "x", ""
			err := s.Call(ctx, "10.0.0.2:1", "Echo.Say", &args, &reply)
			cancel()
			if err == nil || time.Since(began) > time.Second {
				t.Errorf("the call gave %v after %s", err, time.Since(began))
			}
		}
	})
}

// serverAddress is the address of the server of startPair.
const serverAddress = "10.0.0.2:1"

// startPair starts a server "b" with a handler and a client "a", and stops them at
// the end of the test.
func startPair(t *testing.T, network *memnet.Network, name string, handler any) (server, client *Service) {
	t.Helper()
	server, client = New(network.Host("b"), serverAddress), New(network.Host("a"), "10.0.0.1:1")
	if err := server.Handle(name, handler); err != nil {
		t.Fatal(err)
	}
	for _, s := range []*Service{server, client} {
		if err := s.Start(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.Stop(context.Background()) })
	}
	return server, client
}

// TestSilentConnectionIsReplaced checks that a call gets through on a new connection
// after an open one has stopped delivering data, as happens when a NAT or firewall
// drops its state of the connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(nil)
		_, client := startPair(t, network, "Echo", Echo{})
		call := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			args, reply := "x", ""
			return client.Call(ctx, serverAddress, "Echo.Say", &args, &reply)
		}
		if err := call(); err != nil {
			t.Fatal(err)
		}
		network.SetBothLinks("a", "b", memnet.Silent)
		if err := call(); err == nil {
			t.Error("an answer came over a silent connection")
		}
		network.SetBothLinks("a", "b", memnet.Healthy)
		if err := call(); err != nil {
			t.Errorf("call after the connection was silent: %v", err)
		}
	})
}

// TestSilentConnectionEndsOtherCalls makes an open connection silent. The call that
// times out first ends those with a longer timeout too, and the next call succeeds.
func TestSilentConnectionEndsOtherCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(nil)
		_, client := startPair(t, network, "Echo", Echo{})
		call := func(timeout time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			args, reply := "x", ""
			return client.Call(ctx, serverAddress, "Echo.Say", &args, &reply)
		}
		if err := call(time.Second); err != nil {
			t.Fatal(err)
		}
		network.SilenceOpenConns("a", "b")
		began, longCall := time.Now(), make(chan error, 1)
		go func() { longCall <- call(time.Minute) }()
		if err := call(time.Second); err == nil {
			t.Error("an answer came over a silent connection")
		}
		if err := <-longCall; err == nil || time.Since(began) > time.Second {
			t.Errorf("the call with the longer timeout ended after %s with %v", time.Since(began), err)
		}
		if err := call(time.Second); err != nil {
			t.Errorf("call after the connection was silent: %v", err)
		}
	})
}

// slowHandler replies after a second.
type slowHandler struct{}

// Work sleeps for a second and replies with 7.
func (slowHandler) Work(_ *int, reply *int) error {
	time.Sleep(time.Second)
	*reply = 7
	return nil
}

// TestLateAnswerSetsNoReply lets answers arrive just as the calls time out. A call
// that returns an error must not set its reply, not even later.
func TestLateAnswerSetsNoReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 2 * time.Millisecond
		network := memnet.New(func(string, string) time.Duration { return delay })
		_, caller := startPair(t, network, "Slow", slowHandler{})
		failed := 0
		for range 200 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second+2*delay)
			args, reply := 0, 0
			if err := caller.Call(ctx, serverAddress, "Slow.Work", &args, &reply); err != nil {
				failed++
				time.Sleep(time.Second)
				if reply != 0 {
					t.Fatalf("a call that returned %v set its reply to %d", err, reply)
				}
			}
			cancel()
		}
		if failed == 0 {
			t.Error("no call timed out")
		}
	})
}

// TestStopAnswersCallsUnderWay checks that a call in flight is answered when the
// node that serves it stops.
func TestStopAnswersCallsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(func(string, string) time.Duration { return 2 * time.Millisecond })
		callee, caller := startPair(t, network, "Slow", slowHandler{})
		stopped := make(chan error, 1)
		time.AfterFunc(500*time.Millisecond, func() { stopped <- callee.Stop(context.Background()) })
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var arg, reply int
		if err := caller.Call(ctx, serverAddress, "Slow.Work", &arg, &reply); err != nil || reply != 7 {
			t.Errorf("a call in flight during Stop got %d, %v", reply, err)
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

// The node at the other end has been restarted, or is gone, since the last call. The next
// call must be made on a new connection, or fail as one that could not connect: the call on
// the old connection has not been sent.
func TestClosedConnectionIsReplacedBeforeTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(nil)
		server, client := startPair(t, network, "Echo", Echo{})
		say := func() error {
			args, reply := "x", ""
			return client.Call(t.Context(), serverAddress, "Echo.Say", &args, &reply)
		}
		if err := say(); err != nil {
			t.Fatal(err)
		}
		if err := server.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		var opErr *net.OpError
		if err := say(); !errors.As(err, &opErr) || opErr.Op != "dial" {
			t.Errorf("call to a node that is gone: %v, want an error of the dial", err)
		}
		again := New(network.Host("b"), serverAddress)
		if err := again.Handle("Echo", Echo{}); err != nil {
			t.Fatal(err)
		}
		if err := again.Start(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		defer again.Stop(t.Context())
		if err := say(); err != nil {
			t.Errorf("call to a restarted node: %v", err)
		}
	})
}

// A node that has stopped sends no calls: nothing happens elsewhere, and a caller may be told
// so. That holds for a node it has called before, whose connection Stop has closed, as well.
func TestCallAfterStopIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, before := range map[string]bool{"connected": true, "not connected": false} {
			network := memnet.New(nil)
			server, client := startPair(t, network, "Echo", Echo{})
			say := func() error {
				args, reply := "x", ""
				return client.Call(t.Context(), serverAddress, "Echo.Say", &args, &reply)
			}
			if before {
				if err := say(); err != nil {
					t.Fatal(err)
				}
			}
			if err := client.Stop(t.Context()); err != nil {
				t.Fatal(err)
			}
			var opErr *net.OpError
			if err := say(); !errors.As(err, &opErr) || opErr.Op != "dial" || !errors.Is(err, net.ErrClosed) {
				t.Errorf("%s: call of a stopped node: %v, want net.ErrClosed as an error of the dial", name, err)
			}
			if err := server.Stop(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
	})
}
