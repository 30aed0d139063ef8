package ingress

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// smallestMachine is the smallest one that the process runs on.
var smallestMachine = Machine{MemoryBytes: 144 << 20, Descriptors: 3075}

// load replays callers against a budget: who is told to leave leaves at once.
type load struct {
	t       *testing.T
	b       *budget
	now     time.Duration
	evicted []*holder
}

func newLoad(t *testing.T, m Machine) *load {
	o := DefaultOptions()
	return &load{t: t, b: newBudget(o.maxBytes(m), o.maxHolders(m))}
}

// connect accepts a connection; it returns nil if that is refused.
func (l *load) connect() *holder {
	h := &holder{}
	for {
		switch v, victim := l.b.admit(h, connBytes, l.now); v {
		case granted:
			return h
		case evict:
			l.leave(victim)
		default:
			return nil
		}
	}
}

// take asks for bytes and reports whether they were granted.
func (l *load) take(h *holder, bytes int64) bool {
	h.progress.Store(int64(l.now))
	for {
		switch v, victim := l.b.ask(h, bytes); v {
		case granted:
			return true
		case evict:
			l.leave(victim)
		default:
			return false
		}
	}
}

func (l *load) leave(h *holder) {
	l.evicted = append(l.evicted, h)
	l.b.remove(h)
}

// request receives a body of an account on a connection, in buffers as Body has them, and reports
// whether all of it was granted. A refused holder leaves.
func (l *load) request(h *holder, account string, size int64) bool {
	l.b.setAccount(h, account)
	h.phase = phaseBody
	for held := int64(0); ; {
		next := min(size, max(firstBuffer, bufferGrowth*held))
		if !l.take(h, next) {
			l.b.remove(h)
			return false
		}
		if held = next; held == size {
			return true
		}
	}
}

func (l *load) check() {
	l.t.Helper()
	var total, leaving int64
	leavingCount, closedCount := 0, 0
	shares := map[string]int64{}
	for h := range l.b.holders {
		total += h.bytes
		if h.closed {
			closedCount++
		}
		if h.leaving {
			leaving += h.bytes
			leavingCount++
		} else {
			shares[h.account] += h.bytes
		}
	}
	if total != l.b.total || leaving != l.b.leaving || leavingCount != l.b.leavingCount || closedCount != l.b.closedCount || total > l.b.maxBytes+l.b.maxBytes/overshoot {
		l.t.Fatalf("holders hold %d bytes, %d of %d leaving; the budget says %d, %d of %d; its limit is %d", total, leaving, leavingCount, l.b.total, l.b.leaving, l.b.leavingCount, l.b.maxBytes)
	}
	for account, share := range shares {
		if l.b.shares[account] != share {
			l.t.Fatalf("account %q holds %d bytes, the budget says %d", account, share, l.b.shares[account])
		}
	}
	if len(shares) != len(l.b.shares) {
		l.t.Fatalf("shares %v, the budget says %v", shares, l.b.shares)
	}
}

const largestBody = 256 << 10

// On a calm node each request inside the limits is served, also on the smallest machine.
func TestCalmNodeServesTheLargestBody(t *testing.T) {
	l := newLoad(t, smallestMachine)
	for range 20 {
		if h := l.connect(); h == nil || !l.request(h, "a", largestBody) {
			t.Fatal("refused on a calm node")
		}
	}
	if len(l.evicted) > 0 {
		t.Errorf("%d callers had to leave a calm node", len(l.evicted))
	}
	l.check()
}

// Replays crowds that hold what they can, on the smallest machine; ordinary callers, of another
// account and of the crowd's own, must get in and stay in.
func TestOrdinaryCallersAreServedBesideACrowd(t *testing.T) {
	crowds := map[string]struct {
		account func(i int) string
		body    int64
		header  int64
	}{
		"large bodies":              {account: func(int) string { return "crowd" }, body: largestBody},
		"ordinary bodies":           {account: func(int) string { return "crowd" }, body: 2000},
		"tiny bodies":               {account: func(int) string { return "crowd" }, body: 1},
		"headers":                   {account: func(int) string { return "" }, header: 16 << 10},
		"silent connections":        {account: func(int) string { return "" }},
		"bodies of different sizes": {account: func(int) string { return "crowd" }, body: -largestBody},
		"large bodies, two keys":    {account: func(i int) string { return []string{"crowd", "other"}[i%2] }, body: largestBody},
	}
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) {
			l := newLoad(t, smallestMachine)
			r := rand.New(rand.NewPCG(1, 1))
			for i := range 4000 {
				l.now += time.Millisecond
				h := l.connect()
				if h == nil {
					continue
				}
				if c.header > 0 {
					l.take(h, headerFactor*c.header)
				}
				if c.body > 0 {
					l.request(h, c.account(i), c.body)
				} else if c.body < 0 {
					l.request(h, c.account(i), 1+r.Int64N(-c.body))
				}
				if i%200 == 0 {
					l.check()
				}
				if i < 2000 || i%50 > 0 {
					continue
				}
				for _, account := range []string{"calm", "crowd"} {
					l.now += time.Millisecond
					l.evicted = nil
					ordinary := l.connect()
					if ordinary == nil || !l.request(ordinary, account, 4800) {
						t.Fatalf("after %d clients: an ordinary caller of account %q was refused", i, account)
					}
					ordinary.phase = phaseServing
					l.b.remove(ordinary)
				}
			}
			l.check()
		})
	}
}

// An ordinary caller whose requests follow each other on one connection keeps it beside a crowd
// that opens connections without end.
func TestOpenConnectionOutlivesACrowd(t *testing.T) {
	l := newLoad(t, smallestMachine)
	calm := l.connect()
	for i := range 5000 {
		l.now += time.Millisecond
		if h := l.connect(); h != nil {
			l.request(h, "crowd", largestBody)
		}
		if i%500 == 0 {
			if !l.request(calm, "calm", 1200) {
				t.Fatalf("request %d refused", i)
			}
			l.b.free(calm, connBytes)
			calm.phase = phaseIdle
		}
	}
	for _, h := range l.evicted {
		if h == calm {
			t.Fatal("the connection of the ordinary caller was closed")
		}
	}
}

// A holder whose own size is at fault is refused, and a holder that is served is not told to leave.
func TestWhoGivesWay(t *testing.T) {
	l := newLoad(t, Machine{})
	l.b.maxBytes = 1000 << 10
	serving, large, small := l.connect(), l.connect(), l.connect()
	for h, bytes := range map[*holder]int64{serving: 500 << 10, large: 400 << 10, small: 10 << 10} {
		h.phase = phaseBody
		if l.b.setAccount(h, "a"); !l.take(h, bytes) {
			t.Fatal("refused within the budget")
		}
	}
	serving.phase = phaseServing
	if v, victim := l.b.ask(small, 800<<10); v != refused || victim != nil {
		t.Errorf("the largest holder got %v", v)
	}
	if v, victim := l.b.ask(small, 60<<10); v != evict || victim != large {
		t.Errorf("a small holder got %v, %p to leave; want the large one, %p", v, victim, large)
	}
	if v, _ := l.b.ask(small, 60<<10); v != await {
		t.Errorf("while enough is leaving: %v, want await", v)
	}
	if v, _ := l.b.ask(large, 1); v != refused {
		t.Errorf("a holder that is leaving got %v", v)
	}
	l.b.remove(large)
	if v, _ := l.b.ask(small, 60<<10); v != granted {
		t.Errorf("once enough has left: %v, want granted", v)
	}
	l.check()
}

// The number of connections has a limit of its own; the one that has been silent for longest gives
// way.
func TestConnectionsAreBounded(t *testing.T) {
	l := newLoad(t, Machine{MemoryBytes: 1 << 30, Descriptors: 500})
	first := l.connect()
	for range 1000 {
		l.now += time.Millisecond
		if l.connect() == nil {
			t.Fatal("a connection was refused although others are silent")
		}
		if len(l.b.holders) > 100 {
			t.Fatalf("%d connections, the limit is a third of 300", len(l.b.holders))
		}
	}
	if l.evicted[0] != first {
		t.Error("the first one to leave is not the one that was silent for longest")
	}
	for h := range l.b.holders {
		h.phase = phaseServing
	}
	if l.connect() != nil {
		t.Error("a connection was accepted beyond the limit, and none can leave")
	}
}

func TestTimeIsUp(t *testing.T) {
	limits := Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	for name, c := range map[string]struct {
		phase   phase
		writing time.Duration
		age     time.Duration
		want    reason
	}{
		"header in time":  {phase: phaseHeader, age: 3 * time.Second},
		"slow header":     {phase: phaseHeader, age: 3*time.Second + 1, want: reasonSlowHeader},
		"idle":            {phase: phaseIdle, age: 15 * time.Second},
		"idle for long":   {phase: phaseIdle, age: 15*time.Second + 1, want: reasonIdle},
		"body in time":    {phase: phaseBody, age: 10 * time.Second},
		"slow body":       {phase: phaseBody, age: 10*time.Second + 1, want: reasonSlowBody},
		"served for long": {phase: phaseServing, age: time.Hour},
		"answer unread":   {phase: phaseServing, age: writeTimeout + 2, writing: 1, want: reasonUnread},
		"answer read":     {phase: phaseServing, age: writeTimeout, writing: 1},
	} {
		l := newLoad(t, Machine{})
		h := l.connect()
		h.phase, h.deadline = c.phase, 10*time.Second
		h.writing.Store(int64(c.writing))
		expired := l.b.expire(c.age, limits)
		if (len(expired) == 1) != (c.want != "") || h.cause != c.want {
			t.Errorf("%s: %d expired, cause %q, want %q", name, len(expired), h.cause, c.want)
		}
		if len(l.b.expire(c.age, limits)) > 0 {
			t.Errorf("%s: expired twice", name)
		}
		l.check()
	}
}

// Random callers never make the books of the budget wrong.
func TestBudgetKeepsItsBooks(t *testing.T) {
	for seed := range uint64(20) {
		l := newLoad(t, Machine{MemoryBytes: 20 << 20, Descriptors: 300})
		r := rand.New(rand.NewPCG(seed, 0))
		var open []*holder
		for range 2000 {
			l.now += time.Duration(r.IntN(1e7))
			if len(open) == 0 || r.IntN(4) == 0 {
				h := &holder{}
				if v, _ := l.b.admit(h, connBytes, l.now); v == granted {
					open = append(open, h)
				}
				l.check()
				continue
			}
			i := r.IntN(len(open))
			h := open[i]
			switch r.IntN(7) {
			case 0:
				l.b.setAccount(h, fmt.Sprint(r.IntN(3)))
			case 1:
				h.phase = phase(r.IntN(5))
			case 2:
				l.b.free(h, r.Int64N(h.bytes+1))
			case 3:
				l.b.expel(h, reasonIdle)
				l.b.markClosed(h)
			case 4:
				l.b.remove(h)
				l.b.remove(h)
				open[i] = open[len(open)-1]
				open = open[:len(open)-1]
			default:
				l.b.ask(h, r.Int64N(400<<10))
			}
			l.check()
		}
	}
}

func TestOptions(t *testing.T) {
	defaults := DefaultOptions()
	if problems := defaults.Problems(); len(problems) > 0 {
		t.Errorf("the defaults: %q", problems)
	}
	bad := Options{MemoryMB: 1, MaxConnections: 1}
	problems := strings.Join(bad.Problems(), "\n")
	for _, flag := range []string{"--caller-memory", "--caller-connections", "--body-timeout", "--header-timeout", "--idle-timeout", "--header-bytes"} {
		if !strings.Contains(problems, flag) {
			t.Errorf("%s: no problem in %q", flag, problems)
		}
	}
	for _, c := range []struct {
		m           Machine
		bytes       int64
		connections int
	}{
		{Machine{}, unknownMemory, 0},
		{Machine{MemoryBytes: 1 << 20, Descriptors: 10}, minMemory, minConnections},
		{smallestMachine, 144 << 20 / 5, 958},
	} {
		if bytes, connections := defaults.maxBytes(c.m), defaults.maxHolders(c.m); bytes != c.bytes || connections != c.connections {
			t.Errorf("%+v: %d bytes and %d connections, want %d and %d", c.m, bytes, connections, c.bytes, c.connections)
		}
	}
	got := defaults.limits(Limits{HeaderBytes: 1, IdleTimeout: time.Hour})
	if want := (Limits{minHeaderBytes, defaults.HeaderTimeout, maxIdleTimeout}); got != want {
		t.Errorf("limits %+v, want %+v", got, want)
	}
}
