package memory

import "runtime/debug"

// heapPart tenths of a process's memory bound its heap. The rest is for the program itself, for what the
// system keeps, and for what is allocated while the collector runs.
const heapPart = 7

// LimitHeap sets the garbage collector's target percentage, and a soft heap limit of heapPart tenths of
// mebibytes.
func LimitHeap(mebibytes, percent int) {
	debug.SetGCPercent(percent)
	debug.SetMemoryLimit(int64(mebibytes) << 20 * heapPart / 10)
}
