package intake

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/loglimit"
	"github.com/shallotpin/shallotpin/pkg/occupancy"
)

// retrySpread is the part of a Retry-After by which it is lengthened at random, so that not all
// refused callers return together.
const retrySpread = 2

var (
	occupiedTotal = metrics.GetOrCreateCounter("shallotpin_jobs_refused_occupied_total")
	occupiedLines loglimit.Limiter
)

// refuseOccupied returns the error for the caller of a record whose claim the nodes cannot hold.
func refuseOccupied(c occupancy.Claim, o ledger.Occupancy) error {
	occupiedTotal.Inc()
	if ok, leftOut := occupiedLines.Allow(time.Now()); ok {
		klog.InfoS("intake: refused, the accepted jobs take what they may", "job", c.Job, "account", c.Account, "bytes", c.Bytes, "account_bytes", o.AccountBytes, "occupied", o.Bytes, "limit", o.Limit, "retry_after", o.RetryAfter, "lines_left_out", leftOut)
	}
	return OccupiedError(o.RetryAfter + rand.N(o.RetryAfter/retrySpread+1))
}

// OccupiedError returns the error for a record that makes the nodes hold more of accepted jobs
// than they can.
func OccupiedError(retryAfter time.Duration) *api.Error {
	return &api.Error{Code: api.CodeOverloaded, Message: "the accepted jobs take as much memory as they may", Verdict: api.NotRun, RetryAfter: retryAfter}
}

// isOccupied reports whether err is an OccupiedError.
func isOccupied(err error) bool {
	return err != nil && api.AsError(err, api.MayHaveRun).Code == api.CodeOverloaded
}
