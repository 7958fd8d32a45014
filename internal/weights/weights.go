// Package weights plans the rollout of new weights over model engines. Loading
// weights takes an engine out of service for a moment and costs all that it
// kept; answers of older weights lose a part of their worth soon after a
// version is named, and must end at its deadline. Engines are therefore
// brought to the newest version at once, a few at a time. An engine skips the
// versions that were named while it waited. The package is pure.
package weights

import (
	"cmp"
	"slices"
	"time"
)

// Version is a named version of a model's weights.
type Version struct {
	Number int
	// Start is when its time began, by the planner's clock.
	Start time.Duration
}

// EffectiveStart returns when a version's time began, for a leader since the given time.
// A change of leaders before the deadline means that the group was disturbed,
// and the time counts anew; one after the deadline changes nothing.
func EffectiveStart(seen, since, deadline time.Duration) time.Duration {
	if since > seen && since <= seen+deadline {
		return since
	}
	return seen
}

// Engine is one engine that serves the model.
type Engine struct {
	ID string
	// Version is what it holds.
	Version int
	// Loading says that an order is under way.
	Loading bool
}

// Config says by when engines are to be brought to a version.
type Config struct {
	// Deadline is the time from a version's naming after which no request may
	// start on an older one.
	Deadline time.Duration
	// Guard is how long before the deadline routers stop using older versions.
	Guard time.Duration
	// CancelLead is how long before the deadline requests are given up that wait at an
	// engine with an older version.
	CancelLead time.Duration
	// Grace is how long after a version's naming answers of older ones keep their
	// whole worth.
	Grace time.Duration
	// LoadTime is about how long a load takes, and Margin the time to spare when
	// loads are put off.
	LoadTime time.Duration
	Margin   time.Duration
	// Divisor is how many engines there are for each load at a time.
	Divisor int
}

// Plan is what to do now.
type Plan struct {
	// Target is the version to load.
	Target int
	// Load lists the engines to order now.
	Load []string
	// Minimum is the lowest version that may serve now.
	Minimum int
	// Expired is the version below which nothing may begin any more.
	Expired int
	// Preferred is the version below which answers have lost a part of their
	// worth, or are about to.
	Preferred int
}

// Next returns what to do now for one model. Versions are in rising order.
// While engines are crowded, loads are put off as long as deadlines allow.
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
	plan.Load = c.due(now, versions, engines, crowded)
	return plan
}

// due returns the engines to order now: those that are behind, the oldest
// version first, as many at a time as load without slowing each other down.
func (c Config) due(now time.Duration, versions []Version, engines []Engine, crowded bool) []string {
	target := versions[len(versions)-1].Number
	var behind []Engine
	loading := 0
	for _, e := range engines {
		switch {
		case e.Loading:
			loading++
		case e.Version < target:
			behind = append(behind, e)
		}
	}
	slices.SortFunc(behind, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.ID, b.ID))
	})
	parallel := max(leastParallel, len(engines)/max(c.Divisor, 1))
	var out []string
	for i, e := range behind {
		if loading+len(out) >= parallel || (crowded && !c.pressing(now, versions, behind[i:], parallel)) {
			break
		}
		out = append(out, e.ID)
	}
	return out
}

// pressing tells whether the first of these engines must load now so that all
// that share its deadline do in time.
func (c Config) pressing(now time.Duration, versions []Version, behind []Engine, parallel int) bool {
	deadline := c.deadlineOf(versions, behind[0].Version)
	count := 0
	for _, e := range behind {
		if c.deadlineOf(versions, e.Version) <= deadline {
			count++
		}
	}
	waves := (count + parallel - 1) / parallel
	return now >= deadline-c.Guard-c.Margin-time.Duration(waves)*c.LoadTime
}

// deadlineOf returns when an engine with this version, which is not the newest,
// may start no more requests.
func (c Config) deadlineOf(versions []Version, held int) time.Duration {
	i := slices.IndexFunc(versions, func(v Version) bool { return v.Number > held })
	return versions[i].Start + c.Deadline
}

// leastParallel is how many engines of a small pool load at a time.
const leastParallel = 2
