// Package catalog holds a node's copy of the operators' configuration and of the list of
// workers, which feed.Followers keep current. The HTTP handlers find the account and the
// queue of a request in the configuration; the leader schedules by both.
package catalog

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/shallotpin/shallotpin/pkg/ingress"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// Queue accepts the jobs that are submitted to one path prefix of one host.
type Queue struct {
	Name string
	// Host and PathPrefix select the queue of a request; the longest prefix wins.
	Host, PathPrefix string
	workload.Policy
	// Public means that requests need no account key.
	Public bool
}

// Account is a client account.
type Account struct {
	Name string
	// Keys authenticate the account's requests.
	Keys []string
	// GuaranteedAccelerators is the number of accelerators guaranteed to the account's
	// jobs of priority 0.
	GuaranteedAccelerators int
	// Limit is what the account may have running at a time over all workers; 0 means no
	// limit of that resource.
	Limit workload.Resources
}

// CheckLimit returns an error if a job can never run within the account's limit.
func (a *Account) CheckLimit(job *workload.Job) error {
	for i := range job.Steps {
		step := &job.Steps[i]
		tasks := 1
		if step.Gang {
			tasks = step.Count
		}
		for _, d := range [...]struct {
			name        string
			need, limit int
		}{
			{"thousandths of a core", step.Need.MilliCores, a.Limit.MilliCores},
			{"MB of memory", step.Need.MemoryMB, a.Limit.MemoryMB},
			{"accelerators", step.Need.Accelerators, a.Limit.Accelerators},
		} {
			if d.limit > 0 && d.need > d.limit/tasks {
				return fmt.Errorf("step %d runs %d tasks of %d %s at once, the limit of account %s is %d", i, tasks, d.need, d.name, a.Name, d.limit)
			}
		}
	}
	return nil
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	Queues  []Queue
	// Services are the names of the services, also of those that no queue sends to.
	Services []string
	Accounts []Account
	// MaxBodyBytes limits the body of a request; 0 means no limit.
	MaxBodyBytes int64
	// Callers are the other limits on what callers send.
	Callers ingress.Limits

	queuesByName  map[string]*Queue
	accountsByKey map[string]*Account
	services      map[string]bool
}

// Index builds the lookup tables. It must be called once, before the configuration is
// shared between goroutines.
func (c *Config) Index() {
	c.queuesByName, c.accountsByKey, c.services = map[string]*Queue{}, map[string]*Account{}, map[string]bool{}
	for i := range c.Queues {
		c.queuesByName[c.Queues[i].Name] = &c.Queues[i]
		c.services[c.Queues[i].Policy.Service] = true
	}
	for _, name := range c.Services {
		c.services[name] = true
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			c.accountsByKey[key] = &c.Accounts[i]
		}
	}
}

// Queue returns the queue with the given name, or nil.
func (c *Config) Queue(name string) *Queue { return c.queuesByName[name] }

// HasService reports whether the configuration names the service, by itself or by a queue. One that
// names no service at all leaves them open.
func (c *Config) HasService(name string) bool { return len(c.services) == 0 || c.services[name] }

// AccountOf returns the account that a key belongs to, or nil.
func (c *Config) AccountOf(key string) *Account { return c.accountsByKey[key] }

// Account returns the account with the given name, or nil.
func (c *Config) Account(name string) *Account {
	for i := range c.Accounts {
		if c.Accounts[i].Name == name {
			return &c.Accounts[i]
		}
	}
	return nil
}

// Match returns the queue of a request by its host and the longest path prefix,
// or nil.
func (c *Config) Match(host, path string) *Queue {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.PathPrefix) &&
			(best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	return best
}

// Worker is a worker as it has registered itself with the platform.
type Worker struct {
	// ID differs between most incarnations of a worker, but not all; StartedMS tells two
	// incarnations with one ID apart.
	ID string
	// StartedMS is the start of this incarnation, in Unix milliseconds.
	StartedMS int64
	// Service names the jobs that the worker runs: those whose Policy has this Service.
	Service string
	Address string
	Zone    string
	// Rack names the group of workers that share a switch.
	Rack   string
	Labels []string
	// Draining means that the worker finishes its runs and gets no new ones.
	Draining bool
	// Remaining is the least time for which a draining worker stays; 0 means unknown.
	Remaining time.Duration
	Capacity  workload.Resources
	// ClockMS is a reading of the worker's clock, in milliseconds, taken no later than
	// ReceivedAt, which is on the node's monotonic clock.
	ClockMS    int64
	ReceivedAt time.Duration
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}
