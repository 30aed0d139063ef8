package api

import "time"

// Headers of the HTTP API.
const (
	// HeaderVerdict is set on every JSON response.
	HeaderVerdict    = "Shallotpin-Verdict"
	HeaderAccount    = "Shallotpin-Account"
	HeaderClass      = "Shallotpin-Class"
	HeaderIdempotent = "Shallotpin-Idempotent"
	// HeaderDeadline holds the timeout of a short request, a duration such as 2s.
	HeaderDeadline = "Shallotpin-Deadline"
	// HeaderIdempotencyKey holds the idempotency key of a job or a short request.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Headers between a node and an upstream. The upstream echoes the request ID
// and sends the SHA-256 digest of the answer body, so that crossed, late and
// truncated answers are detected.
const (
	HeaderRequestID    = "Shallotpin-Request-Id"
	HeaderAnswerDigest = "Shallotpin-Answer-Sha256"
	// HeaderDraining is set by an upstream that is draining and should get no new
	// requests.
	HeaderDraining = "Shallotpin-Draining"
	// HeaderUpstreamRefused is set to "not-run" by an upstream that rejected a
	// request before it started the work.
	HeaderUpstreamRefused = "Shallotpin-Refused"
)

// Request is one short request to a service.
type Request struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Service string `json:"service"`
	Class   string `json:"class"`
	// Key is the idempotency key, or empty.
	Key        string `json:"key,omitempty"`
	Idempotent bool   `json:"idempotent"`
	// Timeout bounds the request; zero means the timeout of its class.
	Timeout time.Duration `json:"timeout_ns"`
	Body    []byte        `json:"body"`
}

// Answer is the outcome of one short request.
type Answer struct {
	RequestID string  `json:"request_id"`
	Verdict   Verdict `json:"verdict"`
	Body      string  `json:"body,omitempty"`
	Upstream  string  `json:"upstream,omitempty"`
	Error     *Error  `json:"error,omitempty"`
}
