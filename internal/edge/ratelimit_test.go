package edge

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A back end that names a rate may get in any limitWindow half as much again and limitSlack
// more, from routers that have had its word for underWay; all of that from limitBinds after
// it named a limit first.
const (
	limitWindow = 4 * time.Second
	limitSlack  = 5
	limitBinds  = 3 * time.Second
)

// arrival is a request by a router.
type arrival struct {
	at     time.Time
	router string
}

// nameLimit notes what comes while the seat has a limit, and names that in the answer.
func (e *engine) nameLimit(w http.ResponseWriter, r *http.Request) {
	router, _, _ := strings.Cut(r.Header.Get(names.RequestID), " ")
	d := e.seat.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.seat.limit == "" {
		return
	}
	now := time.Now()
	e.limited = append(e.limited, arrival{now, router})
	if _, told := e.told[router]; !told {
		e.told[router] = now
	}
	w.Header().Set(names.Limit, e.seat.limit)
}

// names sets what the engines at some seats take from all routers; empty ends it.
func (d *deployment) names(seats []*seat, limit string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range seats {
		s.limit = limit
	}
}

// most is the most that an engine got in any window from routers that had been told; since
// is when it named its limit first.
func (e *engine) most(since time.Time) int {
	most := 0
	for i, last := range e.limited {
		if last.at.Before(since.Add(limitBinds)) {
			continue
		}
		count := 0
		for _, a := range e.limited[:i+1] {
			if a.at.After(last.at.Add(-limitWindow)) && a.at.After(e.told[a.router].Add(underWay)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// What users saw: two of twelve engines named a limit of 1 request a second for all machines
// together, and got 15 and 12 in 4 s from routers that had had the word for half a second; 11
// are allowed. They got as much as before they named it: all attempts had been placed by the
// leader and were answered with success, no line of any log said a word of the limit. Shown
// by the engines' figures by second, which don't change where the limit begins, and by the
// answers, whose header nothing read.
func TestBackEndsThatNameALimitGetNoMore(t *testing.T) {
	for path, c := range map[string]struct {
		pool  string
		limit string
	}{"/chat/": {"llm", "1"}, "/pay/": {"app", "1.3"}} {
		t.Run(c.pool, func(t *testing.T) {
			t.Parallel()
			rate, err := strconv.ParseFloat(c.limit, 64)
			assert.NilError(t, err)
			d := newDeployment(t, 3, 7, 6)
			limited := d.ofPool(c.pool)[:2]
			begun := time.Now()
			d.names(limited, c.limit)
			ctx, cancel := context.WithTimeout(t.Context(), limitBinds+2*limitWindow)
			defer cancel()
			statuses := d.load(ctx, path)
			d.mu.Lock()
			defer d.mu.Unlock()
			for _, s := range limited {
				e := s.current
				assert.Assert(t, len(e.told) > 0, "%s was never asked", e.id)
				allowed := int(1.5*rate*limitWindow.Seconds()) + limitSlack
				assert.Assert(t, e.most(begun) <= allowed, "%s got %d in %v, allowed %d", e.id, e.most(begun), limitWindow, allowed)
				// A limit is what it takes, not a reason to send it nothing.
				least := int(0.8 * rate * 2 * limitWindow.Seconds())
				assert.Assert(t, e.since(begun.Add(limitBinds)) >= least, "%s got %d, it takes more", e.id, e.since(begun.Add(limitBinds)))
			}
			// The others serve what it doesn't take.
			assert.Equal(t, len(statuses), 1, "%v", statuses)
			assert.Assert(t, statuses[http.StatusOK] > 0)
		})
	}
}

// since is how much the engine got after a moment.
func (e *engine) since(from time.Time) int {
	count := 0
	for _, a := range e.limited {
		if a.at.After(from) {
			count++
		}
	}
	return count
}
