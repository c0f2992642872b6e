package link

import "syscall"

// maxDescriptors is what counts as the limit of a process without one.
const maxDescriptors = 1 << 20

// Descriptors returns how many file descriptors the process may have: the limit of the operating system,
// at most bound. A bound of 0 is none.
func Descriptors(bound int) int {
	if bound <= 0 {
		bound = maxDescriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return bound
	}
	return int(min(limit.Cur, uint64(bound))) //nolint:gosec // at most bound
}
