package router

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/trace"
)

// handle serves requests from other routers and from operators.
func (r *Router) handle(_ context.Context, kind string, body json.RawMessage) (any, error) {
	switch kind {
	case controlapi.KindPeerLease:
		return peer.HandleDecoded(body, r.rollout.handlePeerLease)
	case controlapi.KindTrace:
		return peer.HandleDecoded(body, r.handleTrace)
	}
	return nil, errors.Wrap(peer.ErrUnknownKind, kind)
}

// handleTrace returns the recorded trace of a request.
func (r *Router) handleTrace(request controlapi.TraceRequest) (trace.Trace, error) {
	found, ok := r.traces.Find(request.RequestID)
	if !ok {
		return found, errors.Newf("no trace of request %s here", request.RequestID)
	}
	return found, nil
}
