package control

import (
	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/state"
)

func stampOf(p *state.Proposal) controlapi.BundleID {
	return controlapi.BundleID{Version: p.Version, Digest: p.Digest}
}

// offers returns the bundles that the router lacks: the accepted one, and the
// staged one.
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

// offer makes a delta to a bundle that the router has, or sends the whole.
func (c *Core) offer(p *state.Proposal, bases []string) controlapi.Offer {
	if head := c.machine.Head(); head != nil {
		c.deltas.keep(head)
	}
	o := controlapi.Offer{BundleID: stampOf(p), Stage: p.Stage}
	for _, base := range bases {
		if delta := c.deltas.delta(base, p); delta != nil {
			o.Base, o.Delta = base, delta
			return o
		}
	}
	o.Full = p.Canonical
	return o
}

// keptTexts is how many bundle texts serve as bases for deltas.
const keptTexts = 4

type deltaKey struct{ from, to string }

// deltaCache remembers recent bundle texts and the deltas made of them. It is
// soft: a router without a known base gets the whole bundle.
type deltaCache struct {
	texts  []*state.Proposal
	deltas map[deltaKey][]byte
}

func (d *deltaCache) keep(p *state.Proposal) {
	for _, t := range d.texts {
		if t.Digest == p.Digest {
			return
		}
	}
	d.texts = append(d.texts, p)
	if len(d.texts) > keptTexts {
		d.texts = d.texts[1:]
		d.deltas = nil
	}
}

// delta returns nil when the base is not known.
func (d *deltaCache) delta(base string, to *state.Proposal) []byte {
	key := deltaKey{base, to.Digest}
	if delta, ok := d.deltas[key]; ok {
		return delta
	}
	for _, t := range d.texts {
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
