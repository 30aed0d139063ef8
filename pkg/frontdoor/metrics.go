package frontdoor

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// phases are the values of the phase label of shallotpin_jobs. They bound the number
// of its time series.
var phases = []api.Phase{
	api.PhasePending, api.PhasePlaced, api.PhaseStopping, api.PhaseDone, api.PhaseFailed, api.PhaseCancelled,
}

func (s *Service) getMetrics(w http.ResponseWriter, _ *http.Request) {
	// Buffered, so that the lock on the state is not held while a slow client reads.
	var buf bytes.Buffer
	s.metrics.WritePrometheus(&buf)
	s.writeNodeMetrics(&buf, time.Now())
	s.journal.View(func(st *state.State) { writeStateMetrics(&buf, st) })
	metrics.WriteProcessMetrics(&buf)
	// The buffer has up to twice the size of the text.
	if err := hold(w, 2*buf.Len()); err != nil {
		writeError(w, err)
		return
	}
	buf.WriteTo(w)
}

// writeNodeMetrics writes the metrics that are specific to this node.
func (s *Service) writeNodeMetrics(w io.Writer, now time.Time) {
	if age, ok := s.journal.Age(now); ok {
		metrics.WriteGaugeFloat64(w, "shallotpin_log_age_seconds", age.Seconds())
	}
	metrics.WriteGaugeUint64(w, "shallotpin_live_nodes", uint64(len(s.members.Live(now))))
	ready := uint64(1)
	if s.notReady() != "" {
		ready = 0
	}
	metrics.WriteGaugeUint64(w, "shallotpin_ready", ready)
}

// writeStateMetrics writes the metrics of the replicated state, which are the same
// on every node. The labels hold only availability zones and job phases, which bounds
// the number of time series.
func writeStateMetrics(w io.Writer, st *state.State) {
	metrics.WriteGaugeUint64(w, "shallotpin_log_offset", uint64(st.Offset))
	metrics.WriteGaugeUint64(w, "shallotpin_config_version", st.ConfigVersion)
	metrics.WriteGaugeUint64(w, "shallotpin_preset_version", st.PresetVersion)
	jobs := map[api.Phase]uint64{}
	for _, j := range st.Jobs {
		jobs[j.Phase]++
	}
	for _, p := range phases {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("shallotpin_jobs{phase=%q}", p), jobs[p])
	}
	for _, z := range zoneStatuses(st, nil) {
		out := uint64(0)
		if z.Out {
			out = 1
		}
		metrics.WriteGaugeUint64(w, fmt.Sprintf("shallotpin_zone_out{zone=%q}", z.Name), out)
		metrics.WriteGaugeUint64(w, fmt.Sprintf("shallotpin_workers{zone=%q}", z.Name), uint64(z.Workers))
		metrics.WriteGaugeUint64(w, fmt.Sprintf("shallotpin_accelerators{zone=%q}", z.Name), uint64(z.Capacity.Accelerators))
		metrics.WriteGaugeUint64(w, fmt.Sprintf("shallotpin_accelerators_used{zone=%q}", z.Name), uint64(z.Used.Accelerators))
	}
}
