// Package weights plans the rollout of new weights over model engines. Loading weights
// takes an engine out of service for a moment and clears its cache. Answers of older
// weights lose value soon after a version is announced and are not allowed after its
// deadline. Engines therefore load the newest version at once, a few at a time, and
// skip versions announced meanwhile. The package has no state and does no I/O.
package weights

import (
	"cmp"
	"slices"
	"time"
)

// Version is an announced version of a model's weights.
type Version struct {
	Number int
	// Start is the time from which its deadline counts, by the planner's clock.
	Start time.Duration
}

// EffectiveStart returns the time from which a version's deadline counts, for a version first seen
// at seen and a leader elected at since. An election before the deadline restarts the time, since
// it indicates a disturbance of the group; one after the deadline does not.
func EffectiveStart(seen, since, deadline time.Duration) time.Duration {
	if since > seen && since <= seen+deadline {
		return since
	}
	return seen
}

// Engine is an engine that serves the model.
type Engine struct {
	ID string
	// Version is the version that it holds.
	Version int
	// Loading says that a load is in progress, and Finishing that it ends about when another
	// engine would be ready to load. A finishing load does not count as concurrent while at least
	// half of the engines serve.
	Loading   bool
	Finishing bool
}

// Config holds the timing of rollouts.
type Config struct {
	// Deadline is the time after the start of a version from which
	// no request may start on an older one.
	Deadline time.Duration
	// Guard is the time before the deadline from which routers no longer use older versions.
	Guard time.Duration
	// CancelLead is the time before the deadline at which requests
	// that wait at an engine with an older version are cancelled.
	CancelLead time.Duration
	// Grace is the time after the start of a version during which
	// answers of older ones keep their full value.
	Grace time.Duration
	// LoadTime is the estimated duration of a load, and Margin the
	// time to spare when loads are deferred.
	LoadTime time.Duration
	Margin   time.Duration
	// Divisor is the number of engines per concurrent load.
	Divisor int
}

// Plan is the set of actions due now.
type Plan struct {
	// Target is the version to load.
	Target int
	// Load lists the IDs of the engines that are to load it now.
	Load []string
	// Minimum is the lowest version that may serve now.
	Minimum int
	// Expired is the lowest version on which requests may still begin.
	Expired int
	// Preferred is the lowest version whose answers have their full value.
	Preferred int
}

// Next returns the actions that are due for one model. Versions must be in rising order. While the
// engines are crowded, loads are deferred as long as the deadlines permit.
func (c Config) Next(now time.Duration, versions []Version, engines []Engine, crowded bool) Plan {
	var plan Plan
	if len(versions) == 0 {
		return plan
	}
	plan.Target = versions[len(versions)-1].Number
	for _, v := range versions {
		if now >= v.Start+c.Deadline-c.Guard {
			plan.Minimum = v.Number
		}
		if now >= v.Start+c.Deadline-c.CancelLead {
			plan.Expired = v.Number
		}
		if now >= v.Start+c.Grace {
			plan.Preferred = v.Number
		}
	}
	plan.Load = c.toLoad(now, versions, engines, crowded)
	return plan
}

// toLoad returns the engines that are to load now: outdated ones, the oldest version first, up to
// the number that may load concurrently. Finishing loads do not count unless half of the engines of
// a small pool would load: all six of one were once out of service for 70 ms.
func (c Config) toLoad(now time.Duration, versions []Version, engines []Engine, crowded bool) []string {
	target := versions[len(versions)-1].Number
	var outdated []Engine
	loading, finishing := 0, 0
	for _, e := range engines {
		switch {
		case e.Loading && e.Finishing:
			finishing++
		case e.Loading:
			loading++
		case e.Version < target:
			outdated = append(outdated, e)
		}
	}
	slices.SortFunc(outdated, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.ID, b.ID))
	})
	parallel := max(minParallel, len(engines)/max(c.Divisor, 1))
	var out []string
	for i, e := range outdated {
		concurrent := loading + len(out)
		deferred := crowded || (finishing > 0 && concurrent+finishing >= len(engines)/2)
		if concurrent >= parallel || (deferred && !c.mustStart(now, versions, outdated[i:], parallel)) {
			break
		}
		out = append(out, e.ID)
	}
	return out
}

// mustStart reports whether the first of these engines must load now so that all with the same or
// an earlier deadline are done in time.
func (c Config) mustStart(now time.Duration, versions []Version, outdated []Engine, parallel int) bool {
	deadline := c.deadlineOf(versions, outdated[0].Version)
	count := 0
	for _, e := range outdated {
		if c.deadlineOf(versions, e.Version) <= deadline {
			count++
		}
	}
	rounds := (count + parallel - 1) / parallel
	return now >= deadline-c.Guard-c.Margin-time.Duration(rounds)*c.LoadTime
}

// deadlineOf returns the deadline of an engine that holds a version older than the newest.
func (c Config) deadlineOf(versions []Version, held int) time.Duration {
	i := slices.IndexFunc(versions, func(v Version) bool { return v.Number > held })
	return versions[i].Start + c.Deadline
}

// minParallel is the number of concurrent loads in a small pool.
const minParallel = 2
