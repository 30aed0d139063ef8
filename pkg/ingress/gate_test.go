package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/memnet"
)

const testAddress = "10.0.0.1:80"

// testServer is an HTTP server behind a gate. It answers a POST with the length of its body, whose
// account is in the path, and other requests at once.
type testServer struct {
	t       *testing.T
	gate    *Gate
	network *memnet.Network
}

func startServer(t *testing.T, o Options, m Machine) *testServer {
	t.Helper()
	s := &testServer{t: t, gate: New(o, m), network: memnet.New(nil)}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			// More than net/http sends before it awaits the end of the request.
			io.WriteString(w, strings.Repeat("x", 1<<16))
			return
		}
		if r.Method != http.MethodPost {
			http.Error(w, "unknown key", http.StatusUnauthorized)
			return
		}
		body, err := s.gate.ReadBody(r, r.URL.Path, largestBody)
		var refusal *api.Error
		var tooLarge *TooLargeError
		switch {
		case errors.As(err, &refusal):
			if refusal.Verdict != api.NotRun || refusal.RetryAfter < minRetryAfter || refusal.RetryAfter > maxRetryAfter {
				t.Errorf("refusal %+v", refusal)
			}
			http.Error(w, refusal.Message, http.StatusServiceUnavailable)
			return
		case errors.As(err, &tooLarge):
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		defer body.Close()
		err = body.Decode(r.Context(), func(data []byte) (int64, error) {
			fmt.Fprint(w, len(data))
			return 100, nil
		})
		if err != nil {
			t.Error(err)
		}
	})}
	s.gate.Prepare(server)
	l, err := s.network.Host("node").Listen(testAddress)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go s.gate.Run(ctx)
	go server.Serve(s.gate.Listener(l))
	t.Cleanup(func() {
		stop()
		server.Close()
		// net/http waits for a while before it closes a connection with unread data.
		time.Sleep(time.Second)
		synctest.Wait()
		if s.gate.budget.total != 0 || len(s.gate.conns) != 0 {
			t.Errorf("%d bytes of %d connections are held after the end", s.gate.budget.total, len(s.gate.conns))
		}
	})
	return s
}

// client is a connection to a testServer.
type client struct {
	net.Conn
	t       *testing.T
	answers *bufio.Reader
}

func (s *testServer) dial() *client {
	s.t.Helper()
	c, err := s.network.Host("caller").Dial(context.Background(), testAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return &client{c, s.t, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Errorf("send %.20q: %v", text, err)
	}
}

// expect reads an answer and returns its body.
func (c *client) expect(status int) string {
	c.t.Helper()
	response, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		c.t.Errorf("no answer: %v, want %d", err, status)
		return ""
	}
	body, _ := io.ReadAll(response.Body)
	if response.StatusCode != status {
		c.t.Errorf("status %d %q, want %d", response.StatusCode, body, status)
	}
	return string(body)
}

// expectClosed reads until the server closes the connection, and returns the time that took.
func (c *client) expectClosed() time.Duration {
	c.t.Helper()
	start := time.Now()
	c.SetReadDeadline(start.Add(time.Hour))
	if _, err := io.Copy(io.Discard, c.answers); errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Error("the connection stays open")
	}
	return time.Since(start)
}

func post(account string, stated int) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", account, stated)
}

// Requests inside the limits are served, also one after the other on a connection, whatever their
// size and framing.
func TestRequestsInsideTheLimitsAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, DefaultOptions(), smallestMachine)
		c := s.dial()
		for _, size := range []int{0, 1, 1200, firstBuffer - 1, firstBuffer, firstBuffer + 1, largestBody - 1, largestBody} {
			c.send(post("a", size) + strings.Repeat("x", size))
			if got := c.expect(http.StatusOK); got != fmt.Sprint(size) {
				t.Errorf("%d bytes arrived, want %d", len(got), size)
			}
			c.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			for sent := 0; sent < size; sent += min(size-sent, 30_000) {
				n := min(size-sent, 30_000)
				c.send(fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)))
			}
			c.send("0\r\n\r\n")
			if got := c.expect(http.StatusOK); got != fmt.Sprint(size) {
				t.Errorf("%s bytes arrived in chunks, want %d", got, size)
			}
			// Small requests, with a pause that is shorter than the limit for idle connections.
			time.Sleep(14 * time.Second)
			c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			c.expect(http.StatusUnauthorized)
			c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n" + post("a", 3) + "abcGET / HTTP/1.1\r\nHost: h\r\n\r\n")
			c.expect(http.StatusUnauthorized)
			c.expect(http.StatusOK)
			c.expect(http.StatusUnauthorized)
		}
		c.send(post("a", largestBody+1) + strings.Repeat("x", largestBody+1))
		c.expect(http.StatusRequestEntityTooLarge)
	})
}

func TestSlowCallersAreClosed(t *testing.T) {
	for name, c := range map[string]struct {
		send   string
		limits Limits
		status int
		after  time.Duration
	}{
		"silent":                           {after: 3 * time.Second},
		"silent, operator's limit":         {limits: Limits{HeaderTimeout: 20 * time.Second}, after: 20 * time.Second},
		"part of a header":                 {send: "GET / HTTP/1.1\r\nHost", after: 3 * time.Second},
		"idle":                             {send: "GET / HTTP/1.1\r\nHost: h\r\n\r\n", status: 401, after: 15 * time.Second},
		"idle, operator's limit":           {send: "GET / HTTP/1.1\r\nHost: h\r\n\r\n", limits: Limits{IdleTimeout: 4 * time.Second}, status: 401, after: 4 * time.Second},
		"all but the last byte":            {send: post("a", 1000) + strings.Repeat("x", 999), status: 503, after: 10 * time.Second},
		"no last chunk":                    {send: "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", status: 503, after: 10 * time.Second},
		"body of a GET without an end":     {send: "GET /long HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nabc", status: 200, after: time.Second},
		"unknown key, body without an end": {send: "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nabc", status: 401, after: time.Second},
		"unknown key, no last chunk":       {send: "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", status: 401, after: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startServer(t, DefaultOptions(), smallestMachine)
				caller := s.dial()
				if c.send != "" {
					caller.send(c.send)
				}
				synctest.Wait()
				// The limits hold for connections that are open.
				s.gate.SetLimits(c.limits)
				start := time.Now()
				if c.status > 0 {
					caller.expect(c.status)
				}
				caller.expectClosed()
				if took := time.Since(start); took < c.after || took > c.after+2*sweepInterval {
					t.Errorf("closed after %s, want %s", took, c.after)
				}
			})
		})
	}
}

// A header that grows without an end is refused at the operator's limit.
func TestLargeHeaderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, DefaultOptions(), smallestMachine)
		s.gate.SetLimits(Limits{HeaderBytes: 16 << 10})
		line := "X-Note: " + strings.Repeat("x", 990) + "\r\n"
		for _, c := range []struct{ lines, status int }{{15, 401}, {30, http.StatusRequestHeaderFieldsTooLarge}} {
			caller := s.dial()
			caller.send("GET / HTTP/1.1\r\nHost: h\r\n")
			for range c.lines {
				io.WriteString(caller, line)
				synctest.Wait()
			}
			io.WriteString(caller, "\r\n")
			caller.expect(c.status)
		}
	})
}

// Callers beside crowds that hold bodies just short of their end, with a valid key or none: the
// crowd is answered or closed, what is held stays within the budget, and ordinary callers are served.
func TestServerBesideACrowd(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPut} {
		t.Run(method, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { serveBesideACrowd(t, method) }) })
	}
}

func serveBesideACrowd(t *testing.T, method string) {
	options := DefaultOptions()
	options.MemoryMB, options.MaxConnections = 4, 60
	s := startServer(t, options, Machine{})
	calm := s.dial()
	for i := range 200 {
		caller := s.dial()
		go io.WriteString(caller, strings.Replace(post("crowd", largestBody), "POST", method, 1)+strings.Repeat("x", largestBody-1))
		go io.Copy(io.Discard, caller)
		// A hundred clients a second; net/http takes half a second to close some.
		time.Sleep(10 * time.Millisecond)
		s.gate.mu.Lock()
		total, conns := s.gate.budget.total, len(s.gate.conns)-s.gate.budget.closedCount
		s.gate.mu.Unlock()
		if total > 4<<20*9/8 || conns > 60*9/8 {
			t.Fatalf("%d bytes of %d connections", total, conns)
		}
		if i%20 > 0 {
			continue
		}
		calm.send(post("calm", 1200) + strings.Repeat("x", 1200))
		calm.expect(http.StatusOK)
		own := s.dial()
		own.send(post("crowd", 1200) + strings.Repeat("x", 1200))
		own.expect(http.StatusOK)
	}
}

// A gate that no server uses, and none at all, still read bodies.
func TestBodyWithoutAConnection(t *testing.T) {
	for _, g := range []*Gate{nil, New(DefaultOptions(), Machine{})} {
		request, _ := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader("abcde"))
		body, err := g.ReadBody(request, "a", 5)
		if err != nil || string(body.Bytes) != "abcde" {
			t.Fatalf("%v, %v", body, err)
		}
		if err := body.Decode(context.Background(), func(data []byte) (int64, error) { return int64(len(data)), nil }); err != nil {
			t.Error(err)
		}
		body.Close()
		request, _ = http.NewRequest(http.MethodPost, "http://h/", io.MultiReader(strings.NewReader("abc"), strings.NewReader("def")))
		var tooLarge *TooLargeError
		if _, err := g.ReadBody(request, "a", 5); !errors.As(err, &tooLarge) {
			t.Errorf("a body beyond the limit: %v", err)
		}
		if g != nil && len(g.budget.holders) > 0 {
			t.Error("a request is still held")
		}
	}
}
