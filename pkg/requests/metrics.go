package requests

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// maxSeries bounds the pairs of client account and class that have their own
// series; the others share one.
const maxSeries = 256

// otherLabels are the labels of the pairs beyond maxSeries.
const otherLabels = `account="other",class="other"`

// requestMetrics records the requests of a node by client account and class.
type requestMetrics struct {
	set    *metrics.Set
	mu     sync.Mutex
	labels map[seriesID]string
}

// seriesID identifies the series of one account and class.
type seriesID struct{ account, class string }

func newRequestMetrics(set *metrics.Set) *requestMetrics {
	return &requestMetrics{set: set, labels: map[seriesID]string{}}
}

func (m *requestMetrics) label(r *api.Request) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := seriesID{r.Account, r.Class}
	text, ok := m.labels[id]
	if !ok {
		if len(m.labels) >= maxSeries {
			return otherLabels
		}
		text = fmt.Sprintf("account=%q,class=%q", r.Account, r.Class)
		m.labels[id] = text
	}
	return text
}

func (m *requestMetrics) recordOutcome(r *api.Request, v api.Verdict, d time.Duration) {
	labels := m.label(r)
	m.set.GetOrCreateHistogram(`shallotpin_request_seconds{` + labels + `}`).Update(d.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf(`shallotpin_request_verdicts_total{%s,verdict=%q}`, labels, v)).Inc()
}

func (m *requestMetrics) recordQueueTime(r *api.Request, d time.Duration) {
	m.set.GetOrCreateHistogram(`shallotpin_request_queue_seconds{` + m.label(r) + `}`).Update(d.Seconds())
}

func (m *requestMetrics) recordAttempts(r *api.Request, n int) {
	m.set.GetOrCreateHistogram(`shallotpin_request_attempts{` + m.label(r) + `}`).Update(float64(n))
}
