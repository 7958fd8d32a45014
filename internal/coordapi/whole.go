package coordapi

import (
	"encoding/json"

	"quinceridge.example/quinceridge/internal/state"
)

// FullView is all that a router must know of the replicated state. All routers of
// a deployment ask for it at once when all processes start anew.
type FullView struct {
	// Document is the configuration in force, nil before the first.
	Document json.RawMessage `json:"document,omitempty"`
	Backends []state.Backend `json:"backends,omitempty"`
	// Blocked are the requests that are kept from back ends.
	Blocked Blocked `json:"blocked"`
}
