package coordapi

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

const (
	// maxName is the maximum length of the names of back ends, pools, zones and models, in
	// bytes.
	maxName = 256
	// maxSlots exceeds the number of requests that any back end runs at once.
	maxSlots = 1 << 20
)

// Check validates a heartbeat, which may come from a process that is no back end. The error
// begins with the name of the invalid field.
func (b *Heartbeat) Check() error {
	row := &b.Backend
	for field, text := range map[string]string{"id": row.ID, "pool": row.Pool, "zone": row.Zone} {
		if text == "" || len(text) > maxName {
			return errors.Newf("%s: 1 to %d bytes are required", field, maxName)
		}
	}
	if len(row.Software) > maxName {
		return errors.Newf("software: at most %d bytes are allowed", maxName)
	}
	if address, err := netip.ParseAddrPort(row.Address); err != nil || address.Port() == 0 {
		return errors.Newf("address: %.64q is no IP number with a port", row.Address)
	}
	if row.Slots < 1 || row.Slots > maxSlots {
		return errors.Newf("slots: %d is not within 1 to %d", row.Slots, maxSlots)
	}
	for model, version := range row.Weights {
		if model == "" || len(model) > maxName || version < 1 {
			return errors.Newf("weights: a name and a version of 1 or more are required, not %.64q at %d", model, version)
		}
	}
	return nil
}
