package memory

import "runtime/debug"

// LimitHeap sets the garbage collector's target percentage, and a soft heap limit of three quarters of
// mebibytes. The rest is for the program itself and for what the system keeps.
func LimitHeap(mebibytes, percent int) {
	debug.SetGCPercent(percent)
	debug.SetMemoryLimit(int64(mebibytes) << 20 * 3 / 4)
}
