package backend

import (
	"context"
	"fmt"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// KeyedRecord is a record of a compacted topic, which retains the newest record of each key.
type KeyedRecord struct {
	Key string
	// Value is empty if the record deletes the key.
	Value  []byte
	Offset int64
}

// KeyedAppend is an atomic append of records.
type KeyedAppend struct {
	Records []KeyedRecord
	// Producer and Epoch fence writers: the topic refuses an epoch lower than the
	// highest one that it has seen of the producer.
	Producer string
	Epoch    int64
	// Sequence increases by one with each append of an epoch, so that the topic
	// recognizes a repeated append.
	Sequence int64
	// ExpectedEnd is the offset at which the log must end before the append; a negative
	// value accepts any end.
	ExpectedEnd int64
}

// KeyedPage is the result of one read of a keyed topic.
type KeyedPage struct {
	Records []KeyedRecord
	// End is the offset that the next record will get.
	End int64
	// HasMore reports whether a listing has further keys after the last one of the page.
	HasMore bool
}

// KeyedLog is one compacted topic of the platform's log: the newest record of each key
// is retained without a time limit. Errors are of type *LogError.
type KeyedLog interface {
	// Append writes records and returns the end of the log after them; after an error of
	// kind LogEndMismatch, it returns the current end.
	Append(ctx context.Context, a KeyedAppend) (end int64, err error)
	// Read returns records from offset from on, and waits up to wait for the first one.
	// progress may be nil.
	Read(ctx context.Context, from int64, wait time.Duration, progress Progress) (KeyedPage, error)
	// Newest lists the newest record of each key after the given key. The pages of one
	// listing are not a consistent snapshot. progress may be nil.
	Newest(ctx context.Context, after string, progress Progress) (KeyedPage, error)
}

// Progress is called with the size of each part of a page that arrives, in bytes, and with
// 0 when the reply begins.
type Progress func(bytes int)

// LogErrorKind classifies failures of log calls.
type LogErrorKind string

const (
	// LogUnavailable means that the log refused, failed or did not answer.
	LogUnavailable LogErrorKind = "unavailable"
	// LogFenced means that the topic has seen a higher epoch of the producer.
	LogFenced LogErrorKind = "fenced"
	// LogWrongSequence means that the sequence number does not follow the last one.
	LogWrongSequence LogErrorKind = "sequence"
	// LogEndMismatch means that the log does not end at KeyedAppend.ExpectedEnd.
	LogEndMismatch LogErrorKind = "moved"
	// LogTrimmed means that the requested records are no longer retained.
	LogTrimmed LogErrorKind = "trimmed"
	// LogInvalid means that the log rejected the call as malformed or not permitted.
	LogInvalid LogErrorKind = "invalid"
)

// LogError is a failed call of a KeyedLog.
type LogError struct {
	Kind LogErrorKind
	// Verdict is not-run if the call certainly had no effect.
	Verdict api.Verdict
	// ExpectedSequence is, for LogWrongSequence, the sequence number that the topic
	// would have accepted.
	ExpectedSequence int64
	Cause            error
}

// Error implements the error interface.
func (e *LogError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("log: %s (%s)", e.Kind, e.Verdict)
	}
	return fmt.Sprintf("log: %s (%s): %v", e.Kind, e.Verdict, e.Cause)
}

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.Cause }
