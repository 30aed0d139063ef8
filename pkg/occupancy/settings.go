package occupancy

import "fmt"

const (
	// memoryShare is the part of a node's memory for accepted jobs: as much as for what callers
	// have under way. Both, the process itself and what the kernel has received for it fit the
	// memory of the smallest machine.
	memoryShare = 5
	// unknownLimit is the limit of a node whose memory is not known, in bytes.
	unknownLimit = 64 << 20
	// minLimit is the least limit in bytes, so that some ordinary jobs fit in any case.
	minLimit = 4 << 20
	// maxMemoryMB is the largest limit that may be set, in MB.
	maxMemoryMB = 65536
)

// Options are the limits that an operator of the process may set.
type Options struct {
	JobMemoryMB int `long:"job-memory" env:"SHALLOTPIN_JOB_MEMORY" default:"0" description:"memory in MB for accepted jobs, 4 to 65536; 0: a fifth of the process's memory, or 64. The smallest of all nodes is in force"`
}

// Problems returns one message for each option that cannot be used.
func (o *Options) Problems() []string {
	if mb := o.JobMemoryMB; mb != 0 && (mb < minLimit>>20 || mb > maxMemoryMB) {
		return []string{fmt.Sprintf("--job-memory: %d is not between %d and %d", mb, minLimit>>20, maxMemoryMB)}
	}
	return nil
}

// Limit returns how many bytes accepted jobs may take on a node with the given memory in bytes; 0
// means that it is not known.
func (o *Options) Limit(memory int64) int64 {
	switch {
	case o.JobMemoryMB > 0:
		return int64(o.JobMemoryMB) << 20
	case memory > 0:
		return max(minLimit, memory/memoryShare)
	}
	return unknownLimit
}
