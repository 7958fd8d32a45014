package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const recoveryHeartbeatInterval = 400 * time.Millisecond

// recoveryModel is back ends that are silent at the same time and go on or end, and copies of one request at
// them.
type recoveryModel struct {
	detector *Detector
	now      time.Duration
	// heartbeats are the last ones, silentSince is when back ends fell silent, and ended contains those
	// that did not go on.
	heartbeats  map[string]time.Duration
	silentSince map[string]time.Duration
	ended       map[string]bool
	blocks      []Block
	// verdicts counts the blocks, and recoveredAt is when the last one ended.
	verdicts    int
	recoveredAt time.Duration
}

func newRecoveryModel(backends ...string) *recoveryModel {
	m := &recoveryModel{detector: NewDetector(recoveryHeartbeatInterval), heartbeats: map[string]time.Duration{}, silentSince: map[string]time.Duration{}, ended: map[string]bool{}}
	for _, id := range backends {
		m.heartbeats[id] = NoHeartbeat
	}
	return m
}

func (m *recoveryModel) signs(id string) Liveness {
	last := m.heartbeats[id]
	return Liveness{LastHeartbeat: last, Gone: m.now-last > recoveryHeartbeatInterval*5/2}
}

// run lets time pass.
func (m *recoveryModel) run(until time.Duration) {
	const step = 20 * time.Millisecond
	for ; m.now < until; m.now += step {
		for id := range m.heartbeats {
			if _, silent := m.silentSince[id]; !silent && m.now%recoveryHeartbeatInterval == 0 {
				m.heartbeats[id] = m.now
			}
		}
		found := m.detector.Evaluate(m.now, m.signs, m.blocks)
		for _, id := range found.Recovered {
			m.recoveredAt = m.now
			m.unblock(id)
		}
		for _, v := range found.Verdicts {
			m.verdicts++
			m.blocks = append(m.blocks, v.Block)
		}
	}
}

func (m *recoveryModel) unblock(id Digest) {
	var left []Block
	for _, b := range m.blocks {
		if b.ID != id {
			left = append(left, b)
		}
	}
	m.blocks = left
}

// silence makes back ends silent for a time, while each runs a copy of a request that is given up after
// 0.62 s, and returns when they go on.
func (m *recoveryModel) silence(length time.Duration, request Digest, parts []Digest, backends ...string) (goOn time.Duration) {
	begin := m.now
	for _, id := range backends {
		m.silentSince[id] = begin
	}
	m.run(begin + 620*time.Millisecond)
	for i, id := range backends {
		d := request
		if len(parts) > 0 {
			d += Digest(i)
		}
		m.detector.Record(m.now, FailedAttempt{Backend: id, Request: d, Parts: parts, Duration: time.Second, Silent: true})
	}
	m.run(begin + length)
	for _, id := range backends {
		if !m.ended[id] {
			delete(m.silentSince, id)
		}
	}
	return m.now
}

// recoveryLimit is the longest time from the first heartbeats after a silence to the end of the block.
const recoveryLimit = heartbeatMargin + 2*recoveryHeartbeatInterval

// Guards against requests that stay blocked although their back ends were only silent.
func TestBlockBySilenceEndsOnceBackendsGoOn(t *testing.T) {
	for _, length := range []time.Duration{time.Second, 2600 * time.Millisecond, 4 * time.Second} {
		for _, times := range []int{1, 10} {
			t.Run(fmt.Sprintf("%v, %d times", length, times), func(t *testing.T) {
				var all []string
				for i := range 3 * times {
					all = append(all, fmt.Sprint("e", i))
				}
				m := newRecoveryModel(all...)
				m.run(2 * time.Second)
				for i := range times {
					goOn := m.silence(length, 7, nil, all[3*i:3*i+3]...)
					m.run(goOn + recoveryLimit + recoveryHeartbeatInterval)
					assert.Equal(t, len(m.blocks), 0, "silence %d", i)
					assert.Assert(t, m.recoveredAt <= goOn+recoveryHeartbeatInterval+recoveryLimit)
				}
				if length > time.Second {
					assert.Equal(t, m.verdicts, times)
				}
				m.run(m.now + 10*time.Second)
				assert.Equal(t, len(m.blocks), 0)
			})
		}
	}
}

// What ends back ends for good stays blocked, although others that were taken for ended with them go on.
func TestBlockStaysWhileEnoughBackendsAreGone(t *testing.T) {
	for _, c := range []struct {
		ended  int
		stays  bool
		silent int
	}{{3, true, 0}, {3, true, 2}, {2, false, 1}, {0, false, 4}} {
		t.Run(fmt.Sprintf("%d ended, %d silent", c.ended, c.silent), func(t *testing.T) {
			var all []string
			for i := range c.ended + c.silent {
				all = append(all, fmt.Sprint("e", i))
			}
			m := newRecoveryModel(append(all, "later")...)
			for _, id := range all[:c.ended] {
				m.ended[id] = true
			}
			m.run(2 * time.Second)
			goOn := m.silence(4*time.Second, 7, nil, all...)
			assert.Equal(t, m.verdicts, 1)
			m.run(goOn + 10*time.Second)
			assert.Equal(t, len(m.blocks) > 0, c.stays)
			// The ends of those that did not go on still count.
			m.ended["later"] = true
			m.silence(4*time.Second, 7, nil, "later")
			assert.Equal(t, len(m.blocks) > 0, c.ended >= 2)
		})
	}
}

// Late heartbeats of back ends that have ended do not end a block, however many arrive at once, nor do those
// of a back end that falls silent again.
func TestLateHeartbeatsDoNotEndBlock(t *testing.T) {
	m := newRecoveryModel("a", "b", "c")
	for id := range m.heartbeats {
		m.ended[id] = true
	}
	m.run(2 * time.Second)
	goOn := m.silence(4*time.Second, 7, nil, "a", "b", "c")
	for i := range 5 {
		m.run(goOn + time.Duration(i)*3*time.Second)
		m.heartbeats["a"], m.heartbeats["b"], m.heartbeats["c"] = m.now, m.now, m.now
		m.run(m.now + 500*time.Millisecond)
		m.heartbeats["a"], m.heartbeats["b"], m.heartbeats["c"] = m.now, m.now, m.now
	}
	m.run(m.now + 5*time.Second)
	assert.Equal(t, len(m.blocks), 1)
}

// Back ends that refused connections have ended, whatever heartbeats arrive.
func TestHeartbeatsDoNotEndBlockByRefusedConnections(t *testing.T) {
	w := newFixture()
	for i, id := range []string{"a", "b", "c"} {
		w.endBackend(time.Duration(i+1)*time.Second, id, 7)
	}
	assert.Equal(t, len(w.block(3*time.Second)), 1)
	assert.Equal(t, len(w.blocks[0].Presumed), 0)
	for now := 4 * time.Second; now < 20*time.Second; now += 300 * time.Millisecond {
		for id := range w.signs {
			w.signs[id] = Liveness{LastHeartbeat: now}
		}
		assert.Equal(t, len(w.evaluate(now).Recovered), 0)
	}
}

// A leader without the evidence ends the block too.
func TestBlockBySilenceEndsAtLeaderWithoutEvidence(t *testing.T) {
	m := newRecoveryModel("a", "b", "c")
	m.run(2 * time.Second)
	goOn := m.silence(4*time.Second, 7, nil, "a", "b", "c")
	assert.Equal(t, len(m.blocks), 1)
	m.detector = NewDetector(recoveryHeartbeatInterval)
	m.run(goOn + recoveryHeartbeatInterval + recoveryLimit)
	assert.Equal(t, len(m.blocks), 0)
}

// A block of parts that were answered needs more ends.
func TestBlockOfAnsweredPartEndsWithFewerReturns(t *testing.T) {
	for _, answered := range []bool{false, true} {
		m := newRecoveryModel("a", "b", "c")
		m.run(2 * time.Second)
		backends := []string{"a", "b", "c", "d", "e", "f"}
		m.blocks = []Block{{ID: partA, Parts: []Digest{partA}, Backends: backends, Presumed: backends[:3]}}
		if answered {
			m.detector.MarkAnswered(m.now, partA)
		}
		m.run(5 * time.Second)
		assert.Equal(t, len(m.blocks) > 0, !answered)
	}
}
