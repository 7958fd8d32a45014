package agent

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
)

// ErrOffer is returned for an offer that cannot be applied here. The router
// asks for the whole bundle next.
var ErrOffer = errors.New("offered bundle cannot be applied")

// Held is a bundle that a router has.
type Held struct {
	Stamp controlapi.Stamp `json:"stamp"`
	// Stage is the log index at which the bundle was staged.
	Stage     uint64          `json:"stage"`
	Canonical json.RawMessage `json:"canonical"`
}

// take stages an offered bundle. A bundle that is not above what the router
// has changes nothing.
func (a *Agent) take(offer controlapi.Offer) error {
	if newest := a.newest(); newest != nil && offer.Stamp.Version <= newest.Stamp.Version {
		a.takeAgain(offer)
		return nil
	}
	canonical, err := a.rebuild(offer)
	if err != nil {
		return err
	}
	a.durable.Staged = &Held{Stamp: offer.Stamp, Stage: offer.Stage, Canonical: canonical}
	a.dirty = true
	return nil
}

// takeAgain handles an offer of a bundle that the router has staged. Its stage
// may become known only now.
func (a *Agent) takeAgain(offer controlapi.Offer) {
	staged := a.durable.Staged
	if staged == nil || staged.Stamp != offer.Stamp || staged.Stage == offer.Stage || offer.Stage == 0 {
		return
	}
	renewed := *staged
	renewed.Stage = offer.Stage
	if a.durable.InForce == staged {
		a.durable.InForce = &renewed
	}
	a.durable.Staged = &renewed
	a.dirty = true
}

// rebuild returns the text of an offered bundle.
func (a *Agent) rebuild(offer controlapi.Offer) (json.RawMessage, error) {
	if offer.Base == "" {
		if bundle.Digest(offer.Whole) != offer.Stamp.Digest {
			return nil, errors.Wrap(ErrOffer, "the text has another digest")
		}
		return offer.Whole, nil
	}
	for _, held := range []*Held{a.durable.Staged, a.durable.InForce} {
		if held == nil || held.Stamp.Digest != offer.Base {
			continue
		}
		canonical, err := bundle.Patch(held.Canonical, offer.Delta, offer.Stamp.Digest)
		if err != nil {
			return nil, errors.Mark(err, ErrOffer)
		}
		return canonical, nil
	}
	return nil, errors.Wrap(ErrOffer, "the base of the delta is not here")
}
