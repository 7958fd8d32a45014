package backends

import (
	"math"
	"time"
)

// decaying is a sum whose amounts count less the older they are: after a time that
// is given with each use, by a factor of e. The zero value is ready.
type decaying struct {
	sum float64
	at  time.Duration
}

// add counts an amount.
func (d *decaying) add(now, over time.Duration, amount float64) {
	d.sum = d.value(now, over) + amount
	d.at = now
}

// value is the sum as of now.
func (d *decaying) value(now, over time.Duration) float64 {
	return d.sum * math.Exp(-float64(now-d.at)/float64(over))
}

// entry returns what is kept of a pool, made when it is first asked for.
func entry[T any](entries map[string]*T, pool string) *T {
	e := entries[pool]
	if e == nil {
		e = new(T)
		entries[pool] = e
	}
	return e
}
