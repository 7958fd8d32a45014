package coordapi

import (
	"encoding/json"

	"quinceridge.example/quinceridge/internal/state"
)

// FullView is the part of the replicated state that routers need. All routers request it at once
// after a restart of the whole deployment.
type FullView struct {
	// Document is the current configuration, nil before the first.
	Document json.RawMessage `json:"document,omitempty"`
	Backends []state.Backend `json:"backends,omitempty"`
	// Blocked contains the requests that no back end may receive.
	Blocked Blocked `json:"blocked"`
}
