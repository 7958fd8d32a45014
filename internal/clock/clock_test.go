package clock

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

func TestNowReadsBootTimeClock(t *testing.T) {
	var log strings.Builder
	LogIfUnavailable(slog.New(slog.NewTextHandler(&log, nil)))
	assert.Equal(t, log.String(), "")
	var boot unix.Timespec
	assert.NilError(t, unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot))
	now := Now()
	assert.Assert(t, now >= time.Duration(boot.Nano()))
	assert.Assert(t, now-time.Duration(boot.Nano()) < time.Minute)
}

func TestClockAdvances(t *testing.T) {
	at := Now()
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, Since(at) >= 20*time.Millisecond)
}

func BenchmarkNow(b *testing.B) {
	for range b.N {
		Now()
	}
}
