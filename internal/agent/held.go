package agent

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
)

// ErrUnusableOffer is returned for an offer that cannot be applied here. The router
// asks for the whole bundle next.
var ErrUnusableOffer = errors.New("offered bundle cannot be applied")

// StoredBundle is a bundle that a router has.
type StoredBundle struct {
	BundleID controlapi.BundleID `json:"stamp"`
	// Stage is the log index at which the bundle was staged.
	Stage     uint64          `json:"stage"`
	Canonical json.RawMessage `json:"canonical"`
}

// take stages an offered bundle. A bundle that is not above what the router
// has changes nothing.
func (a *Agent) take(offer controlapi.Offer) error {
	if newest := a.newest(); newest != nil && offer.BundleID.Version <= newest.BundleID.Version {
		a.takeAgain(offer)
		return nil
	}
	canonical, err := a.rebuild(offer)
	if err != nil {
		return err
	}
	a.durable.Staged = &StoredBundle{BundleID: offer.BundleID, Stage: offer.Stage, Canonical: canonical}
	a.dirty = true
	return nil
}

// takeAgain handles an offer of a bundle that the router has staged. Its stage
// may become known only now.
func (a *Agent) takeAgain(offer controlapi.Offer) {
	staged := a.durable.Staged
	if staged == nil || staged.BundleID != offer.BundleID || staged.Stage == offer.Stage || offer.Stage == 0 {
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
		if bundle.Digest(offer.Full) != offer.BundleID.Digest {
			return nil, errors.Wrap(ErrUnusableOffer, "the text has another digest")
		}
		return offer.Full, nil
	}
	for _, held := range []*StoredBundle{a.durable.Staged, a.durable.InForce} {
		if held == nil || held.BundleID.Digest != offer.Base {
			continue
		}
		canonical, err := bundle.Patch(held.Canonical, offer.Delta, offer.BundleID.Digest)
		if err != nil {
			return nil, errors.Mark(err, ErrUnusableOffer)
		}
		return canonical, nil
	}
	return nil, errors.Wrap(ErrUnusableOffer, "the base of the delta is not here")
}
