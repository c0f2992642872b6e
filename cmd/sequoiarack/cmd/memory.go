package cmd

import (
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// gcPercent is the garbage collector's target percentage (GOGC). It is below the
// default of 100 because entry hosts are small: memory costs them more than
// processor time.
const gcPercent = 40

const (
	// memoryShare is the part of the machine's memory beyond which the garbage collector
	// works as hard as it must. The budget of a daemon is lower.
	memoryShare = 0.7
	// textMB is the memory of the program's text, which the collector does not count.
	textMB     = 15
	bytesPerMB = 1_000_000
)

// limitMemory makes the garbage collector keep to a machine with memory of mb millions of bytes, 0 if that is not known.
func limitMemory(mb float64) {
	debug.SetGCPercent(gcPercent)
	limit := int64(memoryShare * float64(machineMemory()))
	if mb > 0 {
		limit = int64(memoryShare * (mb - textMB) * bytesPerMB)
	}
	if limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

// machineMemory returns the memory of the machine in bytes, 0 if the system does not tell.
func machineMemory() uint64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return info.Totalram * uint64(info.Unit)
}
