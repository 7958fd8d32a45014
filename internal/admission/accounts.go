package admission

import (
	"time"

	"quinceridge.example/quinceridge/internal/decay"
)

// account is what a tenant uses.
type account struct {
	waiting float64
	count   int
	granted decay.Sum
	last    time.Duration
}

func (q *Queue) account(tenant string) *account {
	a := q.accounts[tenant]
	if a == nil {
		a = &account{}
		q.accounts[tenant] = a
	}
	a.last = q.now
	return a
}

// count adds granted work to the rates.
func (q *Queue) count(r Request) {
	if !q.pause.gap {
		q.contended.Add(q.now, rateWindow, q.sinceGrant.Value(q.now, rateWindow))
	}
	q.sinceGrant.Reset()
	q.pause.gap = q.paused()
	if len(q.items) > 0 && !q.paused() {
		q.granted.Add(q.now, rateWindow, r.Work)
		q.grants.Add(q.now, rateWindow, 1)
	}
	q.lastGrant = q.now
	q.usage.Add(q.now, rateWindow, r.Work)
	q.account(r.Tenant).granted.Add(q.now, rateWindow, r.Work)
}

// overShare reports whether a tenant's waiting and recently granted work exceeds an equal share of
// all tenants'.
func (q *Queue) overShare(tenant string, pushed float64) bool {
	a := q.accounts[tenant]
	if tenant == "" || a == nil || len(q.accounts) < 2 {
		return false
	}
	own := a.waiting + a.granted.Value(q.now, rateWindow) + pushed
	all := q.work + q.usage.Value(q.now, rateWindow) + pushed
	return own*float64(len(q.accounts)) > all
}

// validWork returns the work to count for a request.
func validWork(work float64) float64 {
	if !(work >= minWork) {
		return minWork
	}
	return work
}
