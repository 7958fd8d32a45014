package backends

import "errors"

// ErrRestarted is why an attempt is cancelled whose back end has started again since:
// the start that ran it is over, whether its connection shows it or not.
var ErrRestarted = errors.New("the back end has started again")

func (r *row) opened(a *Attempt) {
	if r.open == nil {
		r.open = map[*Attempt]struct{}{}
	}
	r.open[a] = struct{}{}
}

// supersede gives up the attempts at earlier starts of a back end. Only rows of later
// starts name their back end.
func (p *Pool) supersede(successor *row) {
	if p.drains || successor.Instance == "" {
		return
	}
	for _, r := range p.rows {
		if r == successor || r.Name() != successor.Name() || r.Enrolled > successor.Enrolled {
			continue
		}
		for a := range r.open {
			a.cancel(ErrRestarted)
		}
	}
}
