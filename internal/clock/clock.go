// Package clock provides a monotonic clock that advances while the machine is suspended. Leases,
// permits, votes, deadlines, windows of limits and the ages of cached state are computed from it.
// The runtime's monotonic clock, on which time.Since and timers are based, stops during a
// suspension, so that expired state would seem fresh after it.
//
// Timers and contexts still use the runtime's clock and fire late after a suspension. State that
// must not outlive its deadline has to be checked with this clock when it is used.
package clock

import (
	"log/slog"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspensions. Each call is a system call.
func Now() time.Duration {
	now, err := read(unix.CLOCK_BOOTTIME)
	if err != nil {
		// Every system has this clock. LogIfUnavailable reports the fallback.
		now, _ = read(unix.CLOCK_MONOTONIC)
	}
	return now
}

// Since returns the time since at, which is a result of Now.
func Since(at time.Duration) time.Duration { return Now() - at }

// LogIfUnavailable logs an error if the boot-time clock cannot be read. Now then stops during a
// suspension. It is called when a process starts.
func LogIfUnavailable(logger *slog.Logger) {
	if _, err := read(unix.CLOCK_BOOTTIME); err != nil {
		logger.Error("boot-time clock is not available; time during suspension is not counted", "part", "clock", "error", err.Error())
	}
}

func read(clock int32) (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(clock, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}
