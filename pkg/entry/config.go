package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/catalog"
)

const (
	// maxConfigAge is the age up to which a configuration decides requests without a
	// further read: a read that waits for changes, and a margin.
	maxConfigAge = readWait + 250*time.Millisecond
	// configReadTimeout bounds the reads that a request waits for: many times the usual
	// latency of the log.
	configReadTimeout = 500 * time.Millisecond
)

// CurrentConfig returns the configuration by which a request that has arrived is to be
// decided, and its age. It reads the operators' topic if the configuration has not been
// confirmed recently, or not since the process last resumed after a pause: requests that
// have waited meanwhile must not be decided by what was in force before. The error is an
// *api.Error with the verdict not-run; the configuration is nil before the first one.
//
// While the topic cannot be read, a process that has not paused goes on with the
// configuration that it has, since operators cannot change it through an unreachable log.
func (n *Node) CurrentConfig(ctx context.Context) (*catalog.Config, time.Duration, error) {
	resumedAt := n.pauses.LastResume()
	config, _, confirmedAt := n.OperatorConfig.Current()
	now := n.settings.Now()
	isCurrent := confirmedAt >= resumedAt
	if config != nil && (!isCurrent || now-confirmedAt > maxConfigAge && !n.configFollower.LastReadFailed()) {
		ctx, cancel := context.WithTimeout(ctx, configReadTimeout)
		defer cancel()
		if err := n.configFollower.AwaitConfirmed(ctx, max(resumedAt, now-maxConfigAge)); err != nil {
			klog.InfoS("entry: configuration not confirmed for a request", "version", config.Version, "age", now-confirmedAt, "since_resume", now-resumedAt, "err", err)
		}
		config, _, confirmedAt = n.OperatorConfig.Current()
		isCurrent = confirmedAt >= resumedAt
	}
	age := n.settings.Now() - confirmedAt
	switch {
	case config == nil:
		return nil, age, &api.Error{Code: api.CodeUnavailable, Message: "no configuration yet", RetryAfter: configRetryAfter}
	case !isCurrent:
		return config, age, &api.Error{Code: api.CodeUnavailable, Message: "the configuration has not been read since the node resumed", RetryAfter: configRetryAfter}
	}
	return config, age, nil
}

// configRetryAfter is the delay asked of callers whose request cannot be decided: other
// nodes can.
const configRetryAfter = time.Second
