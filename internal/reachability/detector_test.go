package reachability

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func TestPathIsLostOnlyIfNoBackendIsReached(t *testing.T) {
	for _, c := range []struct {
		name   string
		result Result
		wanted Verdict
	}{
		{"none reached", Result{Tried: 4}, Lost},
		{"the only back end is not reached", Result{Tried: 1}, Lost},
		{"one of four reached", Result{Tried: 4, Reached: 1}, Reachable},
		{"no back end to try", Result{}, Reachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := NewDetector()
			assert.Assert(t, d.Failed(1000*ms, 750*ms, "llm"))
			assert.Equal(t, d.Verdict("llm"), Checking)
			verdict, changed, _ := d.Checked(1250*ms, "llm", c.result)
			assert.Equal(t, verdict, c.wanted)
			assert.Equal(t, changed, c.wanted == Lost)
			assert.Equal(t, d.Verdict("app"), Reachable)
		})
	}
}

func TestChecksAreFew(t *testing.T) {
	d := NewDetector()
	assert.Assert(t, d.Failed(1000*ms, 750*ms, "llm"))
	assert.Assert(t, !d.Failed(1001*ms, 750*ms, "llm"), "a check is running")
	d.Checked(1250*ms, "llm", Result{Tried: 4, Reached: 4})
	assert.Assert(t, !d.Failed(1300*ms, 1260*ms, "llm"), "a check has just reached back ends")
	d.Connected(1900*ms, "llm")
	assert.Assert(t, !d.Failed(2000*ms, 1800*ms, "llm"), "another connect has succeeded since")
	assert.Assert(t, d.Failed(2200*ms, 1950*ms, "llm"))
	d.Checked(2450*ms, "llm", Result{Tried: 4})
	assert.Assert(t, !d.Failed(2500*ms, 2460*ms, "llm"), "the path is lost")
	assert.Equal(t, len(d.Due(2500*ms)), 0)
	assert.DeepEqual(t, d.Due(2850*ms), []string{"llm"})
	assert.Equal(t, len(d.Due(2850*ms)), 0, "a check is running")
}

// The verdict must not alternate while few back ends are reached.
func TestLostPathReturnsOnceAllTriedAreReached(t *testing.T) {
	d := NewDetector()
	d.Failed(1000*ms, 750*ms, "llm")
	d.Checked(1250*ms, "llm", Result{Tried: 4})
	verdict, changed, _ := d.Checked(1700*ms, "llm", Result{Tried: 2, Reached: 1})
	assert.Equal(t, verdict, Lost)
	assert.Assert(t, !changed)
	assert.Equal(t, d.LostFor(1750*ms, "llm"), 500*ms)
	assert.DeepEqual(t, d.Lost(), []string{"llm"})
	verdict, changed, lost := d.Checked(2250*ms, "llm", Result{Tried: 2, Reached: 2})
	assert.Equal(t, verdict, Reachable)
	assert.Assert(t, changed)
	assert.Equal(t, lost, 1000*ms)
	assert.Equal(t, len(d.Lost()), 0)
}

// A pool whose back ends refuse connections from everybody may still respond over open ones.
func TestLostPathIsTriedNowAndThen(t *testing.T) {
	d := NewDetector()
	d.Failed(1000*ms, 750*ms, "llm")
	d.Checked(1250*ms, "llm", Result{Tried: 4})
	for _, c := range []struct {
		at     time.Duration
		wanted bool
	}{{1300 * ms, true}, {1301 * ms, false}, {1799 * ms, false}, {1800 * ms, true}, {1801 * ms, false}} {
		assert.Equal(t, d.MayTry(c.at, "llm"), c.wanted, "at %v", c.at)
	}
	d.Responded(1850*ms, "llm")
	for at := 1851 * ms; at < 2850*ms; at += 50 * ms {
		assert.Assert(t, d.MayTry(at, "llm"), "at %v", at)
	}
	assert.Assert(t, d.MayTry(2900*ms, "llm"))
	assert.Assert(t, !d.MayTry(2901*ms, "llm"))
}

func TestNilDetectorFindsAllPoolsReachable(t *testing.T) {
	var d *Detector
	assert.Assert(t, !d.Failed(0, 0, "llm"))
	assert.Equal(t, d.Verdict("llm"), Reachable)
	assert.Equal(t, len(d.Lost())+len(d.Due(0)), 0)
}
