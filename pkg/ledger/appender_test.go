package ledger

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
)

// scriptedLog is a log that answers each append as the function answer says; call is the
// number of earlier calls.
type scriptedLog struct {
	backend.KeyedLog
	answer func(call int) (delay time.Duration, err error)
	mu     sync.Mutex
	calls  []backend.KeyedAppend
}

func (s *scriptedLog) Append(ctx context.Context, a backend.KeyedAppend) (int64, error) {
	s.mu.Lock()
	delay, err := s.answer(len(s.calls))
	s.calls = append(s.calls, a)
	s.mu.Unlock()
	select {
	case <-time.After(delay):
		return 0, err
	case <-ctx.Done():
		return 0, &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.MayHaveRun, Cause: ctx.Err()}
	}
}

const never = time.Hour

// write writes one record to a log through an Appender and returns how long Write took and
// its error.
func write(t *testing.T, s *scriptedLog, timeout time.Duration) (took time.Duration, err error) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		now := func() time.Duration { return time.Since(began) }
		a := NewAppender(s, AppenderSettings{Producer: "p", Epoch: 1, NextSequence: 1, CallTimeout: time.Second, RetryDelay: 10 * time.Millisecond, MaxBatchBytes: 1000, LogLatency: func() time.Duration { return 0 }, CheckLatency: func() {}, Now: now})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go a.Run(ctx)
		writeCtx, cancelWrite := context.WithTimeout(ctx, timeout)
		defer cancelWrite()
		_, err = a.Write(writeCtx, CancelRecord("x", 1000, ""))
		took = time.Since(began)
	})
	return took, err
}

// The log adds the records but loses the answers. Without early repeats, each lost answer
// delays the write by the whole call timeout of 1 s.
func TestCallIsRepeatedSoonAfterLostAnswer(t *testing.T) {
	s := &scriptedLog{answer: func(call int) (time.Duration, error) {
		if call < 2 {
			return never, nil
		}
		return 10 * time.Millisecond, nil
	}}
	took, err := write(t, s, 5*time.Second)
	if err != nil || took > 500*time.Millisecond {
		t.Errorf("took %s, error %v; want at most 500ms and no error", took, err)
	}
	for _, c := range s.calls {
		if c.Sequence != 1 || len(c.Records) != 1 {
			t.Errorf("call %+v, want a repeat of the first one", c)
		}
	}
}

// The log takes 700 ms for each call. Aborting a call to repeat it would cost the time of
// several calls, so the first one must be left in flight.
func TestFirstCallToSlowLogIsNotAborted(t *testing.T) {
	s := &scriptedLog{answer: func(int) (time.Duration, error) { return 700 * time.Millisecond, nil }}
	if took, err := write(t, s, 10*time.Second); err != nil || took > 800*time.Millisecond {
		t.Errorf("took %s, error %v; want at most 800ms and no error", took, err)
	}
}

func TestVerdictOfAnAbandonedWrite(t *testing.T) {
	refused := &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.NotRun}
	for name, c := range map[string]struct {
		answer func(int) (time.Duration, error)
		want   api.Verdict
	}{
		"refused":            {func(int) (time.Duration, error) { return time.Millisecond, refused }, api.NotRun},
		"no answer":          {func(int) (time.Duration, error) { return never, nil }, api.MayHaveRun},
		"no answer, refused": {func(n int) (time.Duration, error) { return never * time.Duration(1-min(n, 1)), refused }, api.MayHaveRun},
		"fenced":             {func(int) (time.Duration, error) { return 0, &backend.LogError{Kind: backend.LogFenced} }, api.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := write(t, &scriptedLog{answer: c.answer}, 995*time.Millisecond)
			logErr, ok := err.(*backend.LogError)
			if !ok || logErr.Verdict != c.want {
				t.Errorf("error %v, want verdict %s", err, c.want)
			}
		})
	}
}

// A refused repeat says nothing about the first call, which may still succeed.
func TestRefusedRepeatDoesNotSettleFirstCall(t *testing.T) {
	refused := &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.NotRun}
	s := &scriptedLog{answer: func(call int) (time.Duration, error) {
		if call == 0 {
			return 600 * time.Millisecond, nil
		}
		return time.Millisecond, refused
	}}
	if took, err := write(t, s, 5*time.Second); err != nil || took > 700*time.Millisecond {
		t.Errorf("took %s, error %v; want at most 700ms and no error", took, err)
	}
}

// A write is withdrawn after its batch was taken from the queue and before it is sent. Its
// caller is told that nothing was added, so that it must not be sent.
func TestWithdrawnWriteIsNotSent(t *testing.T) {
	a := NewAppender(nil, AppenderSettings{MaxBatchBytes: 1000})
	kept, withdrawn := &pendingWrite{done: make(chan struct{})}, &pendingWrite{done: make(chan struct{})}
	a.queue = []*pendingWrite{withdrawn, kept}
	batch := a.nextBatch()
	var logErr *backend.LogError
	if err := a.withdraw(withdrawn, context.Canceled); !errors.As(err, &logErr) || logErr.Verdict != api.NotRun {
		t.Fatalf("withdrawal: %v, want the verdict not-run", err)
	}
	if batch = a.claim(batch); len(batch) != 1 || batch[0] != kept {
		t.Errorf("%d writes are sent, want only the one that was not withdrawn", len(batch))
	}
	if err := a.withdraw(kept, context.Canceled); !errors.As(err, &logErr) || logErr.Verdict != api.MayHaveRun {
		t.Errorf("withdrawal of a write that is sent: %v, want the verdict may-have-run", err)
	}
}

// pickyLog refuses appends that have a record with an invalid key.
type pickyLog struct {
	backend.KeyedLog
	invalid string
	calls   int
	added   []string
}

func (l *pickyLog) Append(_ context.Context, a backend.KeyedAppend) (int64, error) {
	l.calls++
	for _, r := range a.Records {
		if r.Key == l.invalid {
			return 0, &backend.LogError{Kind: backend.LogInvalid, Verdict: api.NotRun, Cause: errors.New("key")}
		}
	}
	for _, r := range a.Records {
		l.added = append(l.added, r.Key)
	}
	return 0, nil
}

// Guards against a record that the log refuses as invalid and that fails the records of others in the
// same call.
func TestInvalidRecordFailsAlone(t *testing.T) {
	const writes, invalid = 20, 7
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		log := &pickyLog{invalid: CancelRecord(string(rune('a'+invalid)), 1, "").Key}
		a := NewAppender(log, AppenderSettings{Producer: "p", Epoch: 1, NextSequence: 1, CallTimeout: time.Second, RetryDelay: 10 * time.Millisecond, BatchDelay: time.Millisecond, MaxBatchBytes: 10000, LogLatency: func() time.Duration { return 0 }, CheckLatency: func() {}, Now: func() time.Duration { return time.Since(began) }})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go a.Run(ctx)
		results := make([]chan error, writes)
		for i := range writes {
			results[i] = make(chan error, 1)
			go func() {
				_, err := a.Write(ctx, CancelRecord(string(rune('a'+i)), 1, ""))
				results[i] <- err
			}()
		}
		for i, result := range results {
			if err := <-result; (err != nil) != (i == invalid) {
				t.Errorf("write %d: error %v", i, err)
			}
		}
		if len(log.added) != writes-1 || log.calls > 12 {
			t.Errorf("%d records added in %d calls, want %d in at most 12", len(log.added), log.calls, writes-1)
		}
	})
}
