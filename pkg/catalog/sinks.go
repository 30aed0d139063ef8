package catalog

import (
	"maps"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
)

// Change is a decoded record of the operators' topic; at most one field is set.
type Change struct {
	Config *Config
	// ZoneOut is an availability zone taken out of service, ZoneIn one put back into
	// service.
	ZoneOut, ZoneIn string
}

// OperatorConfig is a feed.Sink that holds the configuration in force and the zones that
// are out of service. It ignores configurations older than the one in force. It is safe
// for concurrent use.
type OperatorConfig struct {
	decode  func(backend.KeyedRecord) (Change, error)
	changed func()

	mu          sync.Mutex
	config      *Config
	zonesOut    map[string]bool
	confirmedAt time.Duration
}

// NewOperatorConfig returns an empty OperatorConfig, which decodes records with decode. It
// calls changed, without holding its lock, after it has applied records.
func NewOperatorConfig(decode func(backend.KeyedRecord) (Change, error), changed func()) *OperatorConfig {
	return &OperatorConfig{decode: decode, changed: changed, zonesOut: map[string]bool{}}
}

// Replace implements feed.Sink. The configuration in force stays unless records has a
// newer one.
func (o *OperatorConfig) Replace(records []backend.KeyedRecord) { o.applyRecords(records, true) }

// Apply implements feed.Sink.
func (o *OperatorConfig) Apply(records []backend.KeyedRecord) { o.applyRecords(records, false) }

// applyRecords applies records; if replace is set, only the zones in records are out.
func (o *OperatorConfig) applyRecords(records []backend.KeyedRecord, replace bool) {
	o.mu.Lock()
	if replace {
		o.zonesOut = map[string]bool{}
	}
	for _, r := range records {
		change, err := o.decode(r)
		if err != nil {
			klog.InfoS("catalog: invalid record of the operators' topic ignored", "key", r.Key, "offset", r.Offset, "err", err)
			continue
		}
		o.apply(change, r.Offset)
	}
	o.mu.Unlock()
	if len(records) > 0 {
		o.changed()
	}
}

// apply applies one change. It must be called with mu held.
func (o *OperatorConfig) apply(change Change, offset int64) {
	switch {
	case change.Config != nil && (o.config == nil || change.Config.Version > o.config.Version):
		o.config = change.Config
		klog.InfoS("catalog: configuration in force", "version", change.Config.Version, "offset", offset, "queues", len(change.Config.Queues), "accounts", len(change.Config.Accounts))
	case change.ZoneOut != "":
		o.zonesOut[change.ZoneOut] = true
		klog.InfoS("catalog: zone out of service", "zone", change.ZoneOut, "offset", offset)
	case change.ZoneIn != "":
		delete(o.zonesOut, change.ZoneIn)
		klog.InfoS("catalog: zone in service", "zone", change.ZoneIn, "offset", offset)
	}
}

// Confirmed implements feed.Sink.
func (o *OperatorConfig) Confirmed(at time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmedAt = at
}

// Current returns the configuration in force, or nil before the first one, the zones that
// are out of service, and the time as of which both are current.
func (o *OperatorConfig) Current() (*Config, map[string]bool, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.config, maps.Clone(o.zonesOut), o.confirmedAt
}

// Workers is a feed.Sink that holds the registered workers. It is safe for concurrent use.
type Workers struct {
	decode  func(backend.KeyedRecord) (Worker, error)
	changed func()
	now     func() time.Duration

	mu sync.Mutex
	// workers is copied before a change if shared, which means that Current has returned
	// it.
	workers     map[string]Worker
	shared      bool
	confirmedAt time.Duration
}

// NewWorkers returns an empty Workers, which decodes records with decode. It calls changed,
// without holding its lock, after each listing and after a worker is added, removed or
// restarted, or changes its draining state, its remaining time or its capacity. It does not
// call changed for other updates.
func NewWorkers(decode func(backend.KeyedRecord) (Worker, error), now func() time.Duration, changed func()) *Workers {
	return &Workers{decode: decode, now: now, changed: changed, workers: map[string]Worker{}}
}

// Replace implements feed.Sink.
func (w *Workers) Replace(records []backend.KeyedRecord) { w.applyRecords(records, true) }

// Apply implements feed.Sink.
func (w *Workers) Apply(records []backend.KeyedRecord) { w.applyRecords(records, false) }

// applyRecords applies records, to an empty table if replace is set. A worker whose record
// is invalid is removed.
func (w *Workers) applyRecords(records []backend.KeyedRecord, replace bool) {
	w.mu.Lock()
	if replace {
		w.workers = map[string]Worker{}
	} else if w.shared {
		w.workers = maps.Clone(w.workers)
	}
	w.shared = false
	changed := replace
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(w.workers, r.Key)
			changed = true
			continue
		}
		worker, err := w.decode(r)
		if err != nil {
			klog.InfoS("catalog: invalid worker record; worker removed", "worker", r.Key, "offset", r.Offset, "err", err)
			delete(w.workers, r.Key)
			changed = true
			continue
		}
		worker.ReceivedAt = w.now()
		old, known := w.workers[r.Key]
		changed = changed || !known || old.Draining != worker.Draining || old.StartedMS != worker.StartedMS || old.Remaining != worker.Remaining || old.Capacity != worker.Capacity
		w.workers[r.Key] = worker
	}
	w.mu.Unlock()
	if changed {
		w.changed()
	}
}

// Confirmed implements feed.Sink.
func (w *Workers) Confirmed(at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmedAt = at
}

// Current returns the workers by ID, which the caller must not change, and the time as of
// which they are current.
func (w *Workers) Current() (map[string]Worker, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shared = true
	return w.workers, w.confirmedAt
}
