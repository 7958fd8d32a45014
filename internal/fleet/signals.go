package fleet

import "syscall"

// Signals that suspend and resume a process.
const (
	signalFreeze = syscall.SIGSTOP
	signalResume = syscall.SIGCONT
)
