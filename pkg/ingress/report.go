package ingress

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// reason is why a request is refused or a connection closed.
type reason string

const (
	reasonBudget      reason = "memory"
	reasonConnections reason = "connections"
	reasonSlowHeader  reason = "slow-header"
	reasonLargeHeader reason = "large-header"
	reasonSlowBody    reason = "slow-body"
	reasonIdle        reason = "idle"
	reasonUnread      reason = "unread-answer"
)

// message is the text for the caller.
func (r reason) message() string {
	if r == reasonSlowBody {
		return "the body did not arrive in time"
	}
	return "the node holds as much of its callers as it can"
}

// linesPerSecond bounds the log lines of each reason.
const linesPerSecond = 5

// reporter writes a log line and counts a metric for each refusal and each connection that is
// closed. Lines of one reason are bounded, the metric is not. It must be used with the gate's
// lock held.
type reporter struct {
	gate  *Gate
	lines map[reason]*lineCount
}

type lineCount struct {
	second           time.Duration
	written, leftOut int
}

func newReporter(g *Gate) *reporter { return &reporter{g, map[reason]*lineCount{}} }

// RegisterMetrics adds gauges of what callers hold to a set.
func (g *Gate) RegisterMetrics(set *metrics.Set) {
	value := func(f func(*budget) float64) func() float64 {
		return func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return f(g.budget)
		}
	}
	set.GetOrCreateGauge("shallotpin_ingress_bytes", value(func(b *budget) float64 { return float64(b.total) }))
	set.GetOrCreateGauge("shallotpin_ingress_connections", value(func(b *budget) float64 { return float64(len(b.holders)) }))
}

// refused reports that a holder gets nothing more.
func (r *reporter) refused(cause reason, h *holder) {
	r.write("ingress: refused", "shallotpin_ingress_refused_total", cause, h)
}

// dismissed reports that a holder is told to leave.
func (r *reporter) dismissed(h *holder) {
	r.write("ingress: dismissed", "shallotpin_ingress_dismissed_total", h.cause, h)
}

func (r *reporter) write(message, counter string, cause reason, h *holder) {
	metrics.GetOrCreateCounter(fmt.Sprintf("%s{reason=%q}", counter, string(cause))).Inc()
	now := r.gate.now()
	count := r.lines[cause]
	if count == nil {
		count = &lineCount{}
		r.lines[cause] = count
	}
	if second := now.Truncate(time.Second); second != count.second {
		count.second, count.written = second, 0
	}
	if count.written == linesPerSecond || cause == reasonIdle {
		count.leftOut++
		return
	}
	b := r.gate.budget
	klog.InfoS(message, "reason", cause, "account", h.account, "phase", h.phase, "for", now-h.since, "bytes", h.bytes, "account_bytes", b.shares[h.account], "held", b.total, "limit", b.maxBytes,
		"connections", len(b.holders), "connections_limit", b.maxHolders, "lines_left_out", count.leftOut)
	count.written++
	count.leftOut = 0
}

func (r *reporter) limitsChanged(l Limits) {
	klog.InfoS("ingress: limits changed", "header_bytes", l.HeaderBytes, "header_timeout", l.HeaderTimeout, "idle_timeout", l.IdleTimeout)
}
