package backends

import (
	"slices"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// hasSoftware reports whether a back end may write the events of a request's stream: its version is not
// held back, and is the one that the stream has to go on at, if any.
func (p *Pool) hasSoftware(r *row, q *Query) bool {
	if q.Software != "" && r.Software != q.Software {
		return false
	}
	return len(p.notes.Software) == 0 || !slices.Contains(p.notes.Software[r.Pool].Held, r.Software)
}

// SoftwareVersions returns the software versions that may have begun a stream of a pool, if there are
// several, and else none.
func (p *Pool) SoftwareVersions(pool string) coordapi.SoftwareVersions {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notes.Software[pool]
}

// ServesSoftware reports whether a back end of a request's pool and software version may serve it, whatever
// it runs, or will once it has loaded weights.
func (p *Pool) ServesSoftware(q *Query) bool {
	serves, loads := p.software(q)
	return serves || loads
}

// LoadsSoftware reports whether those back ends of a request's pool and software version that are to serve it
// all load weights.
func (p *Pool) LoadsSoftware(q *Query) bool {
	serves, loads := p.software(q)
	return loads && !serves
}

func (p *Pool) software(q *Query) (serves, loads bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.rows {
		if r.Pool != q.Pool {
			continue
		}
		if p.mayServe(r, q) {
			return true, loads
		}
		loads = loads || (r.Loading != nil && p.isOpen(r, q))
	}
	return false, loads
}

// supersededBy returns the IDs of the rows whose streams another process may have continued to write
// before a row was applied: a start under the same name, or the same start, with another software version.
// A request names its back end by name only.
func (p *Pool) supersededBy(b *state.Backend) (ids []string) {
	if p.onSuperseded == nil || b.Software == "" {
		return nil
	}
	if before := p.rows[b.ID]; before != nil && before.Software != "" && before.Software != b.Software {
		ids = append(ids, b.ID)
	}
	if b.Instance == "" {
		return ids
	}
	for id, r := range p.rows {
		if id != b.ID && r.Name() == b.Name() && r.EnrolledRevision < b.EnrolledRevision && r.Software != "" && r.Software != b.Software {
			ids = append(ids, id)
		}
	}
	return ids
}

// OnSuperseded sets the function that is called with the ID of a back end once a process of another
// software version has taken its name. It must be called before the pool is used.
func (p *Pool) OnSuperseded(superseded func(id string)) { p.onSuperseded = superseded }
