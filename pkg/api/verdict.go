// Package api holds the types that callers, operators and nodes exchange:
// verdicts, errors, job specifications and short requests. Their JSON forms are
// the public HTTP API.
package api

import "fmt"

// Verdict is whether a request or job has run, may have run or has not run.
type Verdict uint8

const (
	// NotRun means that no part of the work was started on a worker or an upstream.
	NotRun Verdict = iota
	// MayHaveRun means that the work may have been sent and its outcome is unknown.
	MayHaveRun
	// Ran means that the work ran and its outcome is known.
	Ran
)

var verdictNames = [...]string{NotRun: "not-run", MayHaveRun: "may-have-run", Ran: "ran"}

// String returns the name used in headers and JSON bodies.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler and refuses unknown names.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}
