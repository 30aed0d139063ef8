// Package proof tests the scheduler's guarantees. Its tests run real nodes in
// memory under a seeded schedule of faults, record what callers, operators,
// upstreams and workers observe, and check that history against each guarantee.
// All other files of the package are tests; docs/PROOF.md lists the guarantees.
package proof
