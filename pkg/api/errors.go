package api

import (
	"errors"
	"fmt"
	"time"
)

// Code classifies an Error for programs.
type Code string

const (
	// CodeInvalid marks invalid input; a retry with the same input is refused too.
	CodeInvalid Code = "invalid"
	// CodeTooLarge marks input of a valid form that is too large to be stored; a retry is refused too.
	CodeTooLarge Code = "too-large"
	// CodeNotFound marks a name or ID that does not exist.
	CodeNotFound Code = "not-found"
	// CodeConflict marks a change based on an outdated version.
	CodeConflict Code = "conflict"
	// CodeUnavailable marks a temporary refusal; the caller may retry.
	CodeUnavailable Code = "unavailable"
	// CodeOverloaded marks a refusal because a queue is full or a deadline cannot be met.
	CodeOverloaded Code = "overloaded"
	// CodeTimeout marks a deadline that passed before the outcome was known.
	CodeTimeout Code = "timeout"
	// CodeFailed marks work that ran and failed.
	CodeFailed Code = "failed"
)

// Error is an error as returned to callers and to other nodes.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Field is the path of the invalid field, if the input is at fault.
	Field string `json:"field,omitempty"`
	// More holds the other invalid fields of the same input.
	More    []Problem `json:"more,omitempty"`
	Verdict Verdict   `json:"verdict"`
	// RetryAfter is the suggested delay before a retry; zero means no suggestion.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	text := fmt.Sprintf("%s: %s: %s", e.Code, e.Field, e.Message)
	for _, p := range e.More {
		text += fmt.Sprintf("; %s: %s", p.Field, p.Message)
	}
	return text
}

// Errorf returns an Error with the verdict not-run.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// FieldErrorf returns an Error with CodeInvalid for the field at the given path.
func FieldErrorf(field, format string, args ...any) *Error {
	return &Error{Code: CodeInvalid, Field: field, Message: fmt.Sprintf(format, args...)}
}

// AsError returns err as an *Error. An error of another type becomes
// CodeUnavailable with the given verdict.
func AsError(err error, verdict Verdict) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: CodeUnavailable, Message: err.Error(), Verdict: verdict}
}
