package fleet

import "syscall"

// Signals that freeze a process and let it go on.
const (
	syscallStop     = syscall.SIGSTOP
	syscallContinue = syscall.SIGCONT
)
