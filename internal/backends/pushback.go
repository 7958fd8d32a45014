package backends

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
)

// standing is what a back end wants from this process.
func (p *Pool) standing(id string) pushback.Status {
	return p.pushbacks.Status(coordapi.BackendID(id))
}

// Back is how long it takes until the first back end of a query's pool may be sent to
// again, if all that could serve it want nothing now; 0 if one may be sent to, or none
// will be.
func (p *Pool) Back(now time.Duration, q *Query) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := time.Duration(0)
	for _, r := range p.rows {
		if r.Pool != q.Pool || !p.mayServe(r, q) {
			continue
		}
		s := p.standing(r.ID)
		wait := max(s.Wait, r.fullUntil-now)
		switch {
		case !s.Draining && wait <= 0:
			return 0
		case !s.Draining && (first == 0 || wait < first):
			first = wait
		}
	}
	return first
}

// PushedBack notes that a back end has asked a router for a wait. For that one it is out
// of the choice; others prefer those that have not: it may turn away only some. Of 10,000
// requests beside four of twelve engines that shed all for nine seconds, 566 were turned
// away with nothing known, 256 with the wait known to who was asked, 49 with the preference
// (TestASurgeBesideEnginesThatPushBack; 145, 103 and 46 where they shed a tenth). After
// the wait it is tried with one request at a time until it has begun one, so that a back
// end that is still full turns one away and not one of each router's, and one that is
// well again does not get at once what a third of its pool left to the others.
func (p *Pool) PushedBack(now time.Duration, id string, wait time.Duration) {
	p.with(id, func(r *row) {
		if p.drains {
			r.pushedBack = max(r.pushedBack, now+wait)
		}
		r.recovering = true
	})
}

// aside tells whether a back end stands back while there are others since it has pushed
// back.
func (r *row) aside(now time.Duration) bool {
	return now < r.pushedBack || (r.recovering && r.trials > 0)
}
