package agent

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
)

// ErrUnusableOffer is returned when the router lacks the base of a delta or the text does not
// match its digest. The router then requests the full bundle.
var ErrUnusableOffer = errors.New("offered bundle cannot be applied")

// StoredBundle is a bundle that a router has stored.
type StoredBundle struct {
	BundleID controlapi.BundleID `json:"stamp"`
	// Stage is the log index at which the bundle was staged.
	Stage     uint64          `json:"stage"`
	Canonical json.RawMessage `json:"canonical"`
}

// stage stages an offered bundle. It ignores a bundle that is not newer than the newest one
// here, except for its stage.
func (a *Agent) stage(offer controlapi.Offer) error {
	if newest := a.newest(); newest != nil && offer.BundleID.Version <= newest.BundleID.Version {
		a.updateStage(offer)
		return nil
	}
	canonical, err := a.decodeOffer(offer)
	if err != nil {
		return err
	}
	a.durable.Staged = &StoredBundle{BundleID: offer.BundleID, Stage: offer.Stage, Canonical: canonical}
	a.dirty = true
	return nil
}

// updateStage sets the stage of the staged bundle when that bundle is offered again with
// another stage.
func (a *Agent) updateStage(offer controlapi.Offer) {
	staged := a.durable.Staged
	if staged == nil || staged.BundleID != offer.BundleID || staged.Stage == offer.Stage || offer.Stage == 0 {
		return
	}
	updated := *staged
	updated.Stage = offer.Stage
	if a.durable.InForce == staged {
		a.durable.InForce = &updated
	}
	a.durable.Staged = &updated
	a.dirty = true
}

// decodeOffer returns the text of an offered bundle.
func (a *Agent) decodeOffer(offer controlapi.Offer) (json.RawMessage, error) {
	if offer.Base == "" {
		if bundle.Digest(offer.Full) != offer.BundleID.Digest {
			return nil, errors.Wrap(ErrUnusableOffer, "text does not match the digest")
		}
		return offer.Full, nil
	}
	for _, stored := range []*StoredBundle{a.durable.Staged, a.durable.InForce} {
		if stored == nil || stored.BundleID.Digest != offer.Base {
			continue
		}
		canonical, err := bundle.Patch(stored.Canonical, offer.Delta, offer.BundleID.Digest)
		if err != nil {
			return nil, errors.Mark(err, ErrUnusableOffer)
		}
		return canonical, nil
	}
	return nil, errors.Wrap(ErrUnusableOffer, "base of the delta is missing")
}
