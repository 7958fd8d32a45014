// Package clock is the clock by which the product decides: leases, rights to serve,
// votes, deadlines, windows of limits and ages of beliefs are differences of its
// readings. It goes on while a machine is suspended. The runtime's monotonic clock, by
// which time.Since and timers go, stands still then, and a machine that slept for ten
// seconds takes what it held before for as young as it was.
//
// Timers and contexts stay with the runtime: one that was set before a suspension ends
// late by its length. What must not last longer is checked by this clock when it is
// used.
package clock

import (
	"log/slog"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspension included. A reading is a
// system call of 0.2 us (BenchmarkNow): the kernel's fast path knows other clocks only.
func Now() time.Duration {
	now, err := read(unix.CLOCK_BOOTTIME)
	if err != nil {
		// LogTrouble says so at the start. The steady clock is on every system.
		now, _ = read(unix.CLOCK_MONOTONIC)
	}
	return now
}

// Since returns the time since a reading of Now.
func Since(at time.Duration) time.Duration { return Now() - at }

// LogIfUnavailable says at a process's start if the clock can't be read. The process works on,
// with Now standing still during a suspension.
func LogIfUnavailable(logger *slog.Logger) {
	if _, err := read(unix.CLOCK_BOOTTIME); err != nil {
		logger.Error("suspension is not counted", "part", "clock", "error", err.Error())
	}
}

func read(clock int32) (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(clock, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}
