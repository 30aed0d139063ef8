// Package proof checks histories of concurrent runs: what callers, operators,
// upstreams and workers saw while real nodes ran under a seeded schedule of
// faults. Everything else in it is test code; docs/PROOF.md lists what is proved.
package proof
