package coordinator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/state"
)

// listBlocked writes the blocked requests of this node's replica, which may be slightly stale.
func (s *Server) listBlocked(w http.ResponseWriter, r *http.Request) {
	blocked := []blockedEntry{}
	answered := s.loop.Do(r.Context(), func(time.Duration) {
		for _, b := range s.core.Machine().Deployment().Blocked {
			blocked = append(blocked, blockedEntry{Request: b.Request.String(), Since: time.UnixMilli(b.At).UTC(), Parts: digestStrings(b.Parts), Backends: b.Backends, Presumed: b.Presumed, Doubtful: b.Doubtful, Trials: b.Trials, Confirmed: b.Confirmed, Revision: b.Revision})
		}
	})
	if !answered {
		http.Error(w, "the replica is being read", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(blocked)
}

// blockedEntry is a blocked request in the HTTP API.
type blockedEntry struct {
	// Request is the digest that routers log, as request or as block.
	Request string `json:"request"`
	// Parts are the digests of the shared parts of prompts that are blocked together; none for a
	// request.
	Parts []string `json:"parts,omitempty"`
	// Since is when it was blocked, by the clock of the leader at that time.
	Since time.Time `json:"since"`
	// Backends are the back ends that crashed while running it.
	Backends []string `json:"backends"`
	// Presumed are those of them of which only overdue heartbeats show that they ended.
	Presumed []string `json:"presumed,omitempty"`
	// Doubtful is set if the back ends may have ended for another cause, so that one request is let
	// through for a trial soon. Trials counts such requests, and Confirmed is set once a back end ended
	// under one.
	Doubtful  bool   `json:"doubtful,omitempty"`
	Trials    int    `json:"trials,omitempty"`
	Confirmed bool   `json:"confirmed,omitempty"`
	Revision  uint64 `json:"revision"`
}

// operatorBlock is what an operator blocks: a request, or all requests whose prompts contain some
// parts. Parts are the names that clients use for them, and Tenant is that of the parts if it is
// isolated.
type operatorBlock struct {
	Request string   `json:"request,omitempty"`
	Parts   []string `json:"parts,omitempty"`
	Tenant  string   `json:"tenant,omitempty"`
}

// block returns the command for what an operator blocks.
func (o *operatorBlock) block() (*state.Block, error) {
	switch {
	case (o.Request == "") == (len(o.Parts) == 0):
		return nil, errors.New("either request or parts must be set")
	case o.Request != "" && o.Tenant != "":
		return nil, errors.New("tenant is for parts only: a request's digest includes its tenant")
	case len(o.Parts) > poison.MaxParts:
		return nil, errors.Newf("parts has %d names, %d at most", len(o.Parts), poison.MaxParts)
	case o.Request != "":
		digest, err := poison.ParseDigest(o.Request)
		return &state.Block{Request: digest}, errors.Wrap(err, "request")
	}
	var parts []poison.Digest
	for i, name := range o.Parts {
		if name == "" {
			return nil, errors.Newf("parts[%d] is empty", i)
		}
		parts = append(parts, poison.PartDigest(o.Tenant, name))
	}
	slices.Sort(parts)
	parts = slices.Compact(parts)
	return &state.Block{Request: poison.SetDigest(parts), Parts: parts}, nil
}

// blockByOperator serves a request to block something.
func (s *Server) blockByOperator(w http.ResponseWriter, r *http.Request) {
	body, ok := readCall(w, r)
	if !ok {
		return
	}
	var wanted operatorBlock
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wanted); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	block, err := wanted.block()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.logger.Info("operator blocks request", "part", "blocking", "request", block.Request.String(), "prompt_parts", poison.Join(block.Parts))
	s.respond(w, r, coordapi.Request{Block: block})
}
