package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// silenceModel is a pool of engines that are silent at the same time and go on. All prompts share a part.
type silenceModel struct {
	engines  int
	interval time.Duration
	// delay is the longest time until a heartbeat reaches the leader.
	delay   time.Duration
	silence time.Duration
	// answered is set if the part was answered before.
	answered bool
}

// blocks returns what the evaluations block around a silence.
func (m silenceModel) blocks(seed uint64) (out []Verdict) {
	const (
		shared = Digest(1)
		// listed is the time from the last event until routers report requests at silent engines.
		listed = 620 * time.Millisecond
		target = time.Second
	)
	random := rand.New(rand.NewPCG(seed, 1))
	begin := 10 * time.Second
	end := begin + m.silence
	l := NewDetector(m.interval)
	phases, delays := make([]time.Duration, m.engines), make([]time.Duration, m.engines)
	for i := range phases {
		phases[i] = time.Duration(random.Int64N(int64(m.interval)))
		delays[i] = time.Duration(random.Int64N(int64(m.delay)))
	}
	// lastHeartbeat returns when the last heartbeat of an engine reached the leader.
	lastHeartbeat := func(i int, now time.Duration) time.Duration {
		now -= delays[i]
		last := (now-phases[i])/m.interval*m.interval + phases[i]
		if last >= begin && last < end {
			last = (begin-1-phases[i])/m.interval*m.interval + phases[i]
		}
		return last + delays[i]
	}
	reports := map[time.Duration][]FailedAttempt{}
	request := Digest(100)
	for i := range m.engines {
		for range 8 {
			// Streams are overdue at once, requests without an event a target after they were sent.
			at, sent := begin+listed, begin-time.Duration(random.Int64N(int64(time.Second)))
			if random.IntN(3) == 0 {
				sent = begin - target + time.Duration(random.Int64N(int64(target+listed)))
				at = max(at, sent+target)
			}
			at = (at + time.Duration(random.Int64N(int64(60*time.Millisecond)))).Truncate(10 * time.Millisecond)
			request += 2
			if at < end {
				reports[at] = append(reports[at], FailedAttempt{Backend: fmt.Sprint("e", i), Request: request, Parts: []Digest{shared, request + 1}, Duration: at - sent, Silent: true})
			}
		}
	}
	checkedAt, gone := time.Duration(0), make([]bool, m.engines)
	signs := func(now time.Duration) func(string) Liveness {
		return func(id string) Liveness {
			i := 0
			_, _ = fmt.Sscanf(id, "e%d", &i)
			return Liveness{LastHeartbeat: lastHeartbeat(i, now), Gone: gone[i]}
		}
	}
	for now := begin; now < end+2*time.Second; now += 10 * time.Millisecond {
		if now >= checkedAt+300*time.Millisecond {
			checkedAt = now
			for i := range gone {
				gone[i] = now-lastHeartbeat(i, now) > max(m.interval*5/2, m.interval+500*time.Millisecond)
			}
		}
		for _, attempt := range reports[now] {
			l.Record(now, attempt)
			if m.answered {
				l.MarkAnswered(begin-50*time.Millisecond, shared)
			}
		}
		if now%(30*time.Millisecond) == 0 {
			out = append(out, l.Evaluate(now, signs(now), nil).Verdicts...)
		}
	}
	return out
}

// Guards against a silence of many engines that is taken for ends under what their requests have in common.
func TestSilenceOfManyEnginesBlocksNothing(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 1200 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		for _, answered := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, answered %t", silence, answered), func(t *testing.T) {
				failed := 0
				for seed := range uint64(50) {
					m := silenceModel{engines: 12, interval: 500 * time.Millisecond, delay: 250 * time.Millisecond, silence: silence, answered: answered}
					if len(m.blocks(seed)) > 0 {
						failed++
					}
				}
				assert.Equal(t, failed, 0, "of 50 seeds")
			})
		}
	}
}
