// Package crowd has HTTP clients that occupy a server without keeping to the usual course of
// a request, and a monitor of a server process. It is for tests that start a server as a
// process on a loopback address.
package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Pattern is how a client sends its requests.
type Pattern int

const (
	// Whole sends a whole request, reads the answer and keeps the connection open.
	Whole Pattern = iota
	// Unfinished sends all of a body with a length but its last byte.
	Unfinished
	// Pieces is Unfinished with a pause between the pieces of the body.
	Pieces
	// LargeChunks sends a body in large chunks without the last, empty one.
	LargeChunks
	// TinyChunks sends a body in chunks of one byte without the last, empty one.
	TinyChunks
	// Headers sends header lines by the piece and never ends the header.
	Headers
	// Silent sends nothing.
	Silent
	// Unread sends many requests on its connection and reads no answer.
	Unread
)

const (
	// pieceBytes is the size of a piece of a body or a header, and of a large chunk.
	pieceBytes = 16 << 10
	// pieceInterval is the pause between two pieces of pattern Pieces.
	pieceInterval = 100 * time.Millisecond
	// headerBytes is the size of an unfinished header: half of net/http's usual limit.
	headerBytes = 512 << 10
	// unreadRequests is the number of requests of pattern Unread on one connection.
	unreadRequests = 500
	// unreadBufferBytes is the receive buffer of a client that does not read.
	unreadBufferBytes = 4 << 10
	// reconnectDelay is the time between the end of a connection and the next one.
	reconnectDelay = 500 * time.Millisecond
	dialTimeout    = 5 * time.Second
)

// Request is what a client sends.
type Request struct {
	// Head is the request line and the headers, without those that frame the body; each line
	// ends with CRLF.
	Head string
	// Body is not changed.
	Body []byte
}

// Crowd is a number of clients of one server. Each client opens another connection after the
// server has closed one.
type Crowd struct {
	address string
	pattern Pattern
	done    chan struct{}
	clients sync.WaitGroup
	arrived sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Start starts clients that send requests to a server; request returns that of client i.
func Start(address string, clients int, p Pattern, request func(i int) Request) *Crowd {
	c := &Crowd{address: address, pattern: p, done: make(chan struct{}), conns: map[net.Conn]bool{}}
	c.arrived.Add(clients)
	// Clients that send the same body share its encoded form.
	encoded := map[*byte][]byte{}
	for i := range clients {
		r := request(i)
		m := message{head: r.Head}
		if len(r.Body) == 0 {
			m = c.encode(r)
		} else if same, found := encoded[&r.Body[0]]; found {
			m.body = same
		} else {
			m = c.encode(r)
			encoded[&r.Body[0]] = m.body
		}
		c.clients.Go(func() { c.run(m) })
	}
	return c
}

// AwaitArrival waits until each client has sent all that it is to send, with pattern Whole
// until it has an answer, or until the server has closed its first connection. It returns
// false after the timeout.
func (c *Crowd) AwaitArrival(timeout time.Duration) bool {
	arrived := make(chan struct{})
	go func() {
		c.arrived.Wait()
		close(arrived)
	}()
	select {
	case <-arrived:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Close closes all connections and waits until the clients have ended.
func (c *Crowd) Close() {
	close(c.done)
	c.mu.Lock()
	for conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.clients.Wait()
}

func (c *Crowd) run(m message) {
	arrive := sync.OnceFunc(c.arrived.Done)
	defer arrive()
	for {
		c.connect(m, arrive)
		arrive()
		select {
		case <-c.done:
			return
		case <-time.After(reconnectDelay):
		}
	}
}

// connect opens a connection, sends the request and keeps the connection until the server or
// Close closes it.
func (c *Crowd) connect(m message, arrive func()) {
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	if !c.track(conn) {
		return
	}
	defer c.untrack(conn)
	if c.pattern == Unread {
		_ = conn.(*net.TCPConn).SetReadBuffer(unreadBufferBytes)
		whole := append([]byte(m.head), m.body...)
		for range unreadRequests {
			if _, err := conn.Write(whole); err != nil {
				return
			}
			arrive()
		}
		<-c.done
		return
	}
	go func() {
		if c.send(conn, m) == nil && c.pattern != Whole {
			arrive()
		}
	}()
	answer := make([]byte, 512)
	for {
		n, err := conn.Read(answer)
		if err != nil {
			return
		}
		if n > 0 && c.pattern == Whole {
			arrive()
		}
	}
}

// track registers a connection; it returns false after Close.
func (c *Crowd) track(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.done:
		return false
	default:
		c.conns[conn] = true
		return true
	}
}

func (c *Crowd) untrack(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// message is a request as it is sent.
type message struct {
	head string
	// body is the rest of the header, and the body as far as it is sent.
	body []byte
}

// encode encodes the body of a request by the crowd's pattern.
func (c *Crowd) encode(r Request) message {
	switch c.pattern {
	case Whole, Unread:
		return message{r.Head, fmt.Appendf(nil, "Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)}
	case Unfinished, Pieces:
		return message{r.Head, fmt.Appendf(nil, "Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body[:len(r.Body)-1])}
	case LargeChunks, TinyChunks:
		size := pieceBytes
		if c.pattern == TinyChunks {
			size = 1
		}
		return message{r.Head, append([]byte("Transfer-Encoding: chunked\r\n\r\n"), chunked(r.Body, size)...)}
	default:
		return message{head: r.Head}
	}
}

// send sends a message by the crowd's pattern.
func (c *Crowd) send(conn net.Conn, m message) error {
	if c.pattern == Silent {
		return nil
	}
	if _, err := io.WriteString(conn, m.head); err != nil {
		return err
	}
	if c.pattern == Headers {
		return c.sendPieces(conn, unfinishedHeader, pieceBytes)
	}
	return c.sendPieces(conn, m.body, pieceBytes)
}

func (c *Crowd) sendPieces(w io.Writer, data []byte, size int) error {
	for len(data) > 0 {
		n := min(size, len(data))
		if _, err := w.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
		if c.pattern == Pieces {
			time.Sleep(pieceInterval)
		}
	}
	return nil
}

// unfinishedHeader is a header of headerBytes without its end.
var unfinishedHeader = []byte(strings.Repeat("X-Note: "+strings.Repeat("x", 1000)+"\r\n", headerBytes/1000))

// chunked encodes a body in chunks of the given size, without the last, empty chunk.
func chunked(body []byte, size int) []byte {
	var out bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return out.Bytes()
}

// answerTimeout is how long a client of a Series waits for an answer.
const answerTimeout = 10 * time.Second

// Series sends requests whole, one after the other on each of a number of connections, until all
// have been sent. It returns the number of answers by status; 0 stands for no answer.
func Series(address string, clients, requests int, request func(n int) Request) map[int]int {
	var (
		next    atomic.Int64
		mu      sync.Mutex
		answers = map[int]int{}
		running sync.WaitGroup
	)
	for range clients {
		running.Go(func() {
			var s sender
			defer s.close()
			for n := int(next.Add(1)) - 1; n < requests; n = int(next.Add(1)) - 1 {
				status := s.send(address, request(n))
				mu.Lock()
				answers[status]++
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return answers
}

// sender sends whole requests on one connection at a time.
type sender struct {
	conn   net.Conn
	reader *bufio.Reader
}

// send sends a request and returns the status of the answer, 0 for none.
func (s *sender) send(address string, r Request) int {
	if s.conn == nil {
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			return 0
		}
		s.conn, s.reader = conn, bufio.NewReader(conn)
	}
	_ = s.conn.SetDeadline(time.Now().Add(answerTimeout))
	method, _, _ := strings.Cut(r.Head, " ")
	// A server may answer and close the connection before it has read the whole body.
	_, writeErr := fmt.Fprintf(s.conn, "%sContent-Length: %d\r\n\r\n%s", r.Head, len(r.Body), r.Body)
	response, err := http.ReadResponse(s.reader, &http.Request{Method: method})
	if err != nil {
		s.close()
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	if writeErr != nil || err != nil || response.Close {
		s.close()
	}
	return response.StatusCode
}

func (s *sender) close() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}
