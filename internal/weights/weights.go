// Package weights plans the rollout of new weights over model engines. Loading
// weights takes an engine out of service for a moment and costs all that it
// kept, so a load is put off as long as the deadline of its version allows:
// versions that follow each other closely then share one load. The package is
// pure.
package weights

import (
	"cmp"
	"slices"
	"time"
)

// Version is a named version of a model's weights.
type Version struct {
	Number int
	// From is when its time began, by the planner's clock.
	From time.Duration
}

// Began returns when a version's time began, for a leader since the given time.
// A change of leaders before the deadline means that the group was disturbed,
// and the time counts anew; one after the deadline changes nothing.
func Began(seen, since, deadline time.Duration) time.Duration {
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

// Config says how fast and by when engines are to be brought to a version.
type Config struct {
	// Deadline is the time from a version's naming after which no request may
	// start on an older one.
	Deadline time.Duration
	// Guard is how long before the deadline routers stop using older versions.
	Guard time.Duration
	// Cut is how long before the deadline requests are given up that wait at an
	// engine with an older version.
	Cut time.Duration
	// Grace is how long after a version's naming answers of older ones keep their
	// whole worth.
	Grace time.Duration
	// PerLoad is the assumed time of one load, with the wait for running
	// requests to end.
	PerLoad time.Duration
	// Margin is added to the time that the remaining loads need.
	Margin time.Duration
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
func (c Config) Next(now time.Duration, versions []Version, engines []Engine) Plan {
	var plan Plan
	if len(versions) == 0 {
		return plan
	}
	plan.Target = versions[len(versions)-1].Number
	for _, v := range versions {
		if now >= v.From+c.Deadline-c.Guard {
			plan.Minimum = v.Number
		}
		if now >= v.From+c.Deadline-c.Cut {
			plan.Expired = v.Number
		}
		if now >= v.From+c.Grace {
			plan.Preferred = v.Number
		}
	}
	plan.Load = c.due(now, versions, engines, plan.Target)
	return plan
}

// due returns the engines whose time has come. The engine with the oldest
// version goes first.
func (c Config) due(now time.Duration, versions []Version, engines []Engine, target int) []string {
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
	parallel := max(2, len(engines)/max(c.Divisor, 1))
	var out []string
	for i, e := range behind {
		if loading+len(out) >= parallel {
			break
		}
		deadline, bound := firstDeadline(versions, e.Version, c.Deadline)
		if bound && now >= deadline-c.Guard-c.Margin-c.needed(c.pressing(versions, behind[i:], deadline)+loading, parallel) {
			out = append(out, e.ID)
		}
	}
	return out
}

// pressing counts the engines that share a deadline.
func (c Config) pressing(versions []Version, behind []Engine, deadline time.Duration) int {
	count := 0
	for _, e := range behind {
		if d, bound := firstDeadline(versions, e.Version, c.Deadline); bound && d <= deadline {
			count++
		}
	}
	return count
}

func (c Config) needed(engines, parallel int) time.Duration {
	waves := (engines + parallel - 1) / parallel
	return time.Duration(waves) * c.PerLoad
}

// firstDeadline returns when an engine with this version may start no more
// requests.
func firstDeadline(versions []Version, held int, deadline time.Duration) (time.Duration, bool) {
	for _, v := range versions {
		if v.Number > held {
			return v.From + deadline, true
		}
	}
	return 0, false
}
