package coordinator

import (
	"slices"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// keptSaved bounds the saved parts that a leader remembers for watchers.
	keptSaved = 8192
	// announceEvery is the least time between two announcements, and
	// announceStep what each watcher adds to it.
	announceEvery = 80 * time.Millisecond
	announceStep  = 3 * time.Millisecond
	// packFrom is how many back ends an announcement must name to be packed.
	packFrom = 48
	// crowdedFor is how long after a refusal engines count as crowded.
	crowdedFor = time.Second
	// loadKept is how long a router's load counts after it was told.
	loadKept = 1500 * time.Millisecond
)

// told is what routers told the leader: the prompt parts that they saved, in
// order, and their loads. An announcement wakes the watchers.
type told struct {
	// first is the number of the first of parts.
	first uint64
	parts []uint64
	loads map[string]routerLoad
	// refusedAt is when a router last told of refused requests; 0 for never.
	refusedAt time.Duration
	// fresh says that loads came since the last announcement.
	fresh bool
	// sums is the work of all routers, and packed the same where there are many
	// rows; sums is empty then.
	sums   []coordapi.Load
	packed []byte
	// toldAt is when the loads in sums were told, in the mean.
	toldAt time.Duration
	// announcements counts them.
	announcements uint64
	at            time.Duration
}

// routerLoad is one router's work under way.
type routerLoad struct {
	at    time.Duration
	loads []coordapi.Load
}

func (t *told) take(now time.Duration, news *coordapi.Tell) {
	t.parts = append(t.parts, news.Saved...)
	if excess := len(t.parts) - keptSaved; excess > 0 {
		t.parts = slices.Clone(t.parts[excess:])
		t.first += uint64(excess)
	}
	if t.loads == nil {
		t.loads = map[string]routerLoad{}
	}
	t.loads[news.Router] = routerLoad{at: now, loads: news.Loads}
	t.fresh = true
	if news.Refused > 0 {
		t.refusedAt = now
	}
}

// crowded tells whether requests were refused lately because engines are
// behind.
func (t *told) crowded(now time.Duration) bool {
	return t.refusedAt > 0 && now < t.refusedAt+crowdedFor
}

func (t *told) until() uint64 { return t.first + uint64(len(t.parts)) }

// announce tells whether watchers should be woken for news now.
func (t *told) announce(now time.Duration, watchers int) bool {
	if !t.fresh || now < t.at+announceEvery+time.Duration(watchers)*announceStep {
		return false
	}
	t.fresh, t.at = false, now
	t.announcements++
	t.sum(now)
	return true
}

// sum adds the routers' loads up.
func (t *told) sum(now time.Duration) {
	sums := map[string]coordapi.Load{}
	var ages time.Duration
	for router, r := range t.loads {
		if now-r.at > loadKept {
			delete(t.loads, router)
			continue
		}
		ages += now - r.at
		for _, l := range r.loads {
			s := sums[l.ID]
			sums[l.ID] = coordapi.Load{ID: l.ID, Running: s.Running + l.Running, Memory: s.Memory + l.Memory, Prompt: s.Prompt + l.Prompt}
		}
	}
	t.toldAt = now - ages/time.Duration(max(len(t.loads), 1))
	t.sums = make([]coordapi.Load, 0, len(sums))
	for _, l := range sums {
		t.sums = append(t.sums, l)
	}
	slices.SortFunc(t.sums, func(a, b coordapi.Load) int { return strings.Compare(a.ID, b.ID) })
	t.packed = nil
	if len(t.sums) < packFrom {
		return
	}
	if packed, err := coordapi.Pack(t.sums); err == nil {
		t.packed, t.sums = packed, nil
	}
}

// after returns the parts behind a number, and the number of the next.
func (t *told) after(since uint64) ([]uint64, uint64) {
	if since >= t.until() {
		return nil, t.until()
	}
	return t.parts[max(since, t.first)-t.first:], t.until()
}

// unread is how many prompt tokens an engine has still to read, for all that
// routers have told.
func (t *told) unread(id string) int {
	total := 0
	for _, r := range t.loads {
		for _, l := range r.loads {
			if l.ID == id {
				total += l.Prompt
			}
		}
	}
	return total
}
