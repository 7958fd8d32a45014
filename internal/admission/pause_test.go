package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pausingPool is a pool whose engines pause.
type pausingPool struct {
	*Queue
	now     time.Duration
	sent    int
	refused int
}

// The pool grants one request each grantInterval, and one comes each arrivalInterval.
const (
	grantInterval   = 20 * time.Millisecond
	arrivalInterval = 30 * time.Millisecond
)

func (p *pausingPool) push() {
	p.sent++
	r := Request{Key: Key{Router: "r", Number: uint64(p.sent)}, Arrived: p.now, Target: time.Second, Abandon: 4 * time.Second, Work: 10, Digest: uint64(p.sent)}
	if p.Push(p.now, r, 0) != nil {
		p.refused++
	}
}

// run pushes and, unless the pool pauses, grants requests for a time.
func (p *pausingPool) run(duration time.Duration, grants bool) {
	for until := p.now + duration; p.now < until; p.now += 10 * time.Millisecond {
		if p.now%arrivalInterval == 0 {
			p.push()
		}
		if grants && p.now%grantInterval == 0 {
			if r, more := p.Next(p.now); more {
				p.Granted(p.now, r.Key)
			}
		}
		p.refused += len(p.Expire(p.now, func() float64 { return 0 }))
	}
}

// newPausingPool returns a pool for which requests have waited for a second.
func newPausingPool() *pausingPool {
	p := &pausingPool{Queue: New(Config{}), now: time.Second}
	for range 20 {
		p.push()
	}
	p.run(time.Second, true)
	return p
}

// Guards against refusing requests during and after a pause of all engines because nothing was granted
// meanwhile, although they begin in time once the engines go on.
func TestPauseOfEnginesIsNoRateOfGrants(t *testing.T) {
	const noticed = 600 * time.Millisecond
	for _, pause := range []time.Duration{700 * time.Millisecond, time.Second, 1200 * time.Millisecond} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			p := newPausingPool()
			assert.Equal(t, p.refused, 0)
			p.run(noticed, false)
			p.SetPaused(p.now, true)
			p.run(pause-noticed, false)
			p.SetPaused(p.now, false)
			p.run(3*time.Second, true)
			assert.Equal(t, p.refused, 0)
		})
	}
}

// Guards against requests that wait although the backlog of a pause is more than the pool grants in time.
func TestBacklogOfPauseIsBounded(t *testing.T) {
	p := newPausingPool()
	p.run(100*time.Millisecond, false)
	p.SetPaused(p.now, true)
	for range 3 * time.Second / grantInterval {
		p.push()
		p.run(grantInterval, false)
	}
	assert.Assert(t, p.refused > 0)
	// The rate is uncertain by a fifth.
	assert.Assert(t, p.Len() <= 12*int(4*time.Second/grantInterval)/10, "%d", p.Len())
}

// Guards against a pool that counts as pausing although its engines have stopped for good.
func TestLongPauseEnds(t *testing.T) {
	p := newPausingPool()
	p.SetPaused(p.now, true)
	p.run(maxPause+grantInterval, false)
	assert.Assert(t, !p.paused())
}
