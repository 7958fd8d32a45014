package hedging

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var tableFile = flag.String("table", "", "file for the table of TestSilenceOfEnginesEndsNoAnswer, whose cases are then played under both rules, with and without a bound of retries, with tableStreams streams each")

const (
	// tableStreams is the number of streams that meet the silence in each case of a printed table, and
	// tablePlays the most plays for them.
	tableStreams = 300
	tablePlays   = 120
	// silenceStart is when a silence begins, and goodTime the time for which arrivals go on after an
	// engine has stopped for good.
	silenceStart = 2500 * ms
	goodTime     = 3 * time.Second
	// drainTime is the time after the last arrival within which all streams end.
	drainTime = 20 * time.Second
)

// silenceCase is a silence of some of 12 engines with 8 slots each.
type silenceCase struct {
	silence time.Duration
	engines int
	load    float64
}

// silences and the other lists are the cases of the table.
var (
	silences   = []time.Duration{300 * ms, 600 * ms, time.Second, 2 * time.Second, 4 * time.Second, forGood}
	manySilent = []int{1, 4, 12}
	loads      = []float64{0.3, 0.7, 1, 1.5}
)

func (c silenceCase) String() string {
	return fmt.Sprintf("%s, %d of 12, load %.1f", c.duration(), c.engines, c.load)
}

func (c silenceCase) duration() string {
	if c.silence == forGood {
		return "for good"
	}
	return fmt.Sprintf("%.1f s", c.silence.Seconds())
}

// result is what the streams of a case got.
type result struct {
	// met counts those that met the silence by their outcome. streams are all streams.
	met                    [outcomes]int
	streams, begun, inVain int
	// moved is the longest time that a caller waited at an engine that stopped for good, until its stream
	// went on elsewhere, and stayed the number of the streams there that did not.
	moved  time.Duration
	stayed int
	faults []string
}

func (r *result) total() (n int) {
	for _, count := range r.met {
		n += count
	}
	return n
}

// per1000 returns how many there are of n per 1,000 streams.
func (r *result) per1000(n int) float64 { return 1000 * float64(n) / float64(max(r.streams, 1)) }

// play plays a case once and adds what its streams got.
func (c silenceCase) play(seed uint64, rule rule, unbounded bool, r *result) {
	p := newPlay(seed, rule, 12, 8)
	p.unbounded = unbounded
	last := silenceStart + min(c.silence, goodTime) + time.Second
	p.arrivals(c.load, time.Second, last)
	var ids []string
	for i := range c.engines {
		ids = append(ids, engineIDs((int(seed)+i)%12)...)
	}
	until := forGood
	if c.silence < forGood {
		until = silenceStart + c.silence
	}
	p.silence(ids, silenceStart, until)
	p.drain(last, last+drainTime)
	for _, s := range p.streams {
		if s.met {
			r.met[s.outcome]++
		}
		r.moved = max(r.moved, s.moved)
		if s.stopped && s.outcome != inTime && s.outcome != late {
			r.stayed++
		}
	}
	r.streams += len(p.streams)
	r.begun += p.begun
	r.inVain += p.inVain
	r.faults = append(r.faults, p.faults...)
}

// plays plays a case until enough streams met the silence.
func (c silenceCase) plays(rule rule, unbounded bool) *result {
	r := &result{}
	for seed := uint64(1); seed <= tablePlays; seed++ {
		c.play(seed, rule, unbounded, r)
		if *tableFile == "" || r.total() >= tableStreams {
			break
		}
	}
	return r
}

// Guards against answers that a router ends although their engine goes on within the callers' patience, and
// against streams that stay at engines that have stopped for good although others have room.
func TestSilenceOfEnginesEndsNoAnswer(t *testing.T) {
	bounded, unbounded := make([]string, len(silences)*len(manySilent)*len(loads)), make([]string, len(silences)*len(manySilent)*len(loads))
	t.Run("cases", func(t *testing.T) {
		for i, silence := range silences {
			for j, engines := range manySilent {
				for k, load := range loads {
					c, at := silenceCase{silence, engines, load}, (i*len(manySilent)+j)*len(loads)+k
					t.Run(c.String(), func(t *testing.T) {
						t.Parallel()
						bounded[at] = c.check(t, false)
						if *tableFile != "" {
							unbounded[at] = c.check(t, true)
						}
					})
				}
			}
		}
	})
	if *tableFile != "" {
		table := tableHead + strings.Join(bounded, "") + "\nThe same without a bound of retries:\n\n" + tableHead + strings.Join(unbounded, "")
		assert.NilError(t, os.WriteFile(*tableFile, []byte(table), 0o644))
	}
}

// check plays a case, asserts what the rule after has to keep and returns a line of the table.
func (c silenceCase) check(t *testing.T, unbounded bool) string {
	now := c.plays(after, unbounded)
	t.Logf("after: %v", now)
	assert.Equal(t, len(now.faults), 0, "%v", now.faults)
	if c.silence <= patience {
		assert.Check(t, now.met[cut] == 0, "cut")
		assert.Check(t, now.met[failed] == 0, "502")
	}
	hasRoom := c.silence == forGood && c.engines < 12 && c.load < 1
	if !hasRoom && *tableFile == "" {
		return ""
	}
	former := c.plays(before, unbounded)
	t.Logf("before: %v", former)
	if hasRoom {
		assert.Check(t, now.moved <= former.moved, "%v until a stream went on elsewhere, %v before", now.moved, former.moved)
		assert.Check(t, now.stayed == 0, "%d streams did not go on", now.stayed)
	}
	return c.line(former, now)
}

func (r *result) String() string {
	return fmt.Sprintf("%d of %d streams met the silence: %d whole in time, %d late, %d cut, %d 502, %d 503, %d left; %d further attempts, %.1f in vain per 1,000; %v until one went on elsewhere",
		r.total(), r.streams, r.met[inTime], r.met[late], r.met[cut], r.met[failed], r.met[refused], r.met[left], r.begun, r.per1000(r.inVain), r.moved)
}

const tableHead = `| silence | engines | load | met | whole in time | whole late | cut | 502 | 503 | left | further attempts | in vain per 1,000 | longest |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
`

// line returns a line of the table, with what differs as before → after.
func (c silenceCase) line(former, now *result) string {
	cells := []string{c.duration(), fmt.Sprint(c.engines), fmt.Sprintf("%.1f", c.load), arrow(former.total(), now.total())}
	for o := inTime; o < outcomes; o++ {
		cells = append(cells, arrow(former.met[o], now.met[o]))
	}
	longest := "-"
	if former.moved > 0 || now.moved > 0 {
		longest = arrow(fmt.Sprintf("%.2f s", former.moved.Seconds()), fmt.Sprintf("%.2f s", now.moved.Seconds()))
	}
	cells = append(cells, arrow(former.begun, now.begun), fmt.Sprintf("%.1f", now.per1000(now.inVain)), longest)
	return "| " + strings.Join(cells, " | ") + " |\n"
}

func arrow[T comparable](former, now T) string {
	if former == now {
		return fmt.Sprint(now)
	}
	return fmt.Sprintf("%v → %v", former, now)
}

// Guards against further attempts where no engine is silent.
func TestNoFurtherAttemptWithoutSilence(t *testing.T) {
	for _, load := range loads {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			r := &result{}
			silenceCase{time.Second, 0, load}.play(1, after, true, r)
			t.Logf("%d streams, %d further attempts, %.1f in vain per 1,000", r.streams, r.begun, r.per1000(r.inVain))
			assert.Equal(t, len(r.faults), 0, "%v", r.faults)
			assert.Equal(t, r.begun, 0)
		})
	}
}
