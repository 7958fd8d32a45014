package control

import (
	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/state"
)

func bundleIDOf(p *state.Proposal) controlapi.BundleID {
	return controlapi.BundleID{Version: p.Version, Digest: p.Digest}
}

// offers returns the accepted and the staged bundle, each only if the router lacks it.
func (c *Core) offers(r controlapi.LeaseRequest) []controlapi.Offer {
	var out []controlapi.Offer
	bases := []string{r.Staged.Digest, r.InForce.Digest}
	head := c.machine.Head()
	if head != nil && r.InForce.Version < head.Version && r.Staged.Digest != head.Digest {
		out = append(out, c.offer(head, bases))
		bases = append(bases, head.Digest)
	}
	pending := c.machine.Pending()
	if pending != nil && pending.Stage != 0 && r.Stage != pending.Stage {
		out = append(out, c.offer(pending, bases))
	}
	return out
}

// offer returns a delta against a bundle that the router has, or the full bundle if none of
// them is cached.
func (c *Core) offer(p *state.Proposal, bases []string) controlapi.Offer {
	if head := c.machine.Head(); head != nil {
		c.deltas.addBase(head)
	}
	o := controlapi.Offer{BundleID: bundleIDOf(p), Stage: p.Stage}
	for _, base := range bases {
		if delta := c.deltas.delta(base, p); delta != nil {
			o.Base, o.Delta = base, delta
			return o
		}
	}
	o.Full = p.Canonical
	return o
}

// maxDeltaBases is the maximum number of bundles kept as bases of deltas.
const maxDeltaBases = 4

type deltaKey struct{ from, to string }

// deltaCache keeps recent bundles and the deltas computed from them. It is volatile: a router
// whose base is missing gets the full bundle.
type deltaCache struct {
	bases  []*state.Proposal
	deltas map[deltaKey][]byte
}

func (d *deltaCache) addBase(p *state.Proposal) {
	for _, t := range d.bases {
		if t.Digest == p.Digest {
			return
		}
	}
	d.bases = append(d.bases, p)
	if len(d.bases) > maxDeltaBases {
		d.bases = d.bases[1:]
		d.deltas = nil
	}
}

// delta returns the delta from base to the given bundle, or nil if base is not cached or the
// delta cannot be computed.
func (d *deltaCache) delta(base string, to *state.Proposal) []byte {
	key := deltaKey{base, to.Digest}
	if delta, ok := d.deltas[key]; ok {
		return delta
	}
	for _, t := range d.bases {
		if t.Digest != base {
			continue
		}
		delta, err := bundle.Delta(t.Canonical, to.Canonical)
		if err != nil {
			return nil
		}
		if d.deltas == nil {
			d.deltas = map[deltaKey][]byte{}
		}
		d.deltas[key] = delta
		return delta
	}
	return nil
}
