package forward

import (
	"context"
	"maps"
	"slices"
	"sync"

	"quinceridge.example/quinceridge/internal/cachemiss"
)

// tally counts the attempts of a request.
type tally struct {
	// ran counts the attempts that ran or may have run.
	ran int
	// withheld counts the attempts that were not sent because of a pushback or limit. They do
	// not count as tries.
	withheld int
	// deliveries counts the attempts that a back end received.
	deliveries int
	// deliveriesElsewhere counts the deliveries to other routers, and those of the router that passed
	// the request on.
	deliveriesElsewhere int
}

func (t *tally) add(o tally) {
	t.ran += o.ran
	t.withheld += o.withheld
	t.deliveries += o.deliveries
	t.deliveriesElsewhere += o.deliveriesElsewhere
}

func (t tally) minus(o tally) tally {
	return tally{ran: t.ran - o.ran, withheld: t.withheld - o.withheld, deliveries: t.deliveries - o.deliveries, deliveriesElsewhere: t.deliveriesElsewhere - o.deliveriesElsewhere}
}

// count counts an attempt that ended without a response for the client.
func (t *tally) count(result outcome) {
	if result.delivered {
		t.deliveries++
	}
	if isWithheld(result.err) {
		t.withheld++
	}
	if result.verdict != notRun {
		t.ran++
	}
}

// hedgeRecord is what ended hedges did that the request's job does not have yet.
type hedgeRecord struct {
	tally
	tried, brokenRelays []string
	trace               []string
	prefills            []cachemiss.Attempt
	quotaCounted        bool
}

// add adds what a hedge did.
func (r *hedgeRecord) add(g *hedge) {
	j := g.session.job
	r.tally.add(j.tally.minus(g.base))
	r.trace = append(r.trace, j.trace...)
	r.prefills = append(r.prefills, j.prefills...)
	r.tried = append(r.tried, j.query.Tried...)
	r.brokenRelays = append(r.brokenRelays, j.brokenRelays...)
	r.quotaCounted = r.quotaCounted || j.quotaCounted
}

// moveTo adds the record to a job and empties it.
func (r *hedgeRecord) moveTo(j *job) {
	j.tally.add(r.tally)
	j.trace = append(j.trace, r.trace...)
	j.prefills = append(j.prefills, r.prefills...)
	j.query.Tried = union(j.query.Tried, r.tried)
	j.brokenRelays = union(j.brokenRelays, r.brokenRelays)
	j.quotaCounted = j.quotaCounted || r.quotaCounted
	*r = hedgeRecord{}
}

// union returns the strings of both lists, those of the first one in order and as often as there.
func union(list, more []string) []string {
	for _, one := range more {
		if !slices.Contains(list, one) {
			list = append(list, one)
		}
	}
	return list
}

// retryGrant holds the retries that the budget has granted to a request and that were not delivered. It
// is safe for concurrent use.
type retryGrant struct {
	mu      sync.Mutex
	granted int
}

// use uses a granted retry, and reports false if there is none.
func (g *retryGrant) use() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.granted == 0 {
		return false
	}
	g.granted--
	return true
}

// giveBack returns a retry that was not delivered.
func (g *retryGrant) giveBack() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.granted++
}

// takeRetry spends one retry, and reports false if the budget allows none.
func (h *Handler) takeRetry(ctx context.Context, j *job) bool {
	return j.retry.use() || h.budget.AllowRetry(ctx, h.now(), j.pool.Name, h.config.Source.Routers())
}

// fork returns a copy of a request beside open attempts, which count as ones that may have run, and with
// the record of ended ones. The copy shares nothing that either changes, except the granted retries.
func (j *job) fork(open []*attempt, spent *hedgeRecord) *job {
	out := &job{id: j.id, digest: j.digest, table: j.table, route: j.route, tenant: j.tenant, pool: j.pool, authorization: j.authorization,
		continuation: j.continuation, origin: j.origin, unrelayed: j.unrelayed, counted: j.counted, accepted: j.accepted, chunked: j.chunked,
		query: j.query, parts: j.parts, partDigests: j.partDigests, receivedAt: j.receivedAt, clientWait: j.clientWait, deadline: j.deadline, tally: j.tally,
		quotaAmount: j.quotaAmount, quotaCounted: j.quotaCounted || spent.quotaCounted, shareChecked: j.shareChecked, shareAsked: true, retry: j.retry}
	out.tally.add(spent.tally)
	out.query.Tried = union(slices.Clone(j.query.Tried), spent.tried)
	out.brokenRelays = union(slices.Clone(j.brokenRelays), spent.brokenRelays)
	for _, a := range open {
		out.ran++
		out.deliveries++
		if a.relay != "" {
			out.deliveriesElsewhere++
			out.brokenRelays = union(out.brokenRelays, []string{a.relay})
		} else {
			out.query.Tried = union(out.query.Tried, []string{a.choice.ID})
		}
	}
	request := *j.request
	request.Header = maps.Clone(j.request.Header)
	out.request = &request
	return out
}
