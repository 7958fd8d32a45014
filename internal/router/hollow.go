package router

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/peer"
)

// StartControllers starts only what talks to control and to other routers, not
// the callers' side. Hollow fleets run hundreds of such routers in a process.
// Stop ends it.
func (r *Router) StartControllers() error {
	listener, err := net.Listen("tcp", r.settings.PeerListen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	r.startControllers(listener)
	return nil
}

// StopControllers ends what StartControllers began.
func (r *Router) StopControllers() { r.end() }

// InForce returns the stamp of the bundle that the router serves by.
func (r *Router) InForce() controlapi.BundleID {
	if config := r.board.Config.Load(); config != nil {
		return config.BundleID
	}
	return controlapi.BundleID{}
}

// Serving tells whether the router may take new work.
func (r *Router) Serving() bool {
	authority := r.board.LeaseState.Load()
	return authority != nil && authority.Mode != "none"
}

// Traffic returns the bytes received from and sent to control and peers.
func (r *Router) Traffic() (in, out uint64) {
	return r.counters.BytesIn.Load(), r.counters.BytesOut.Load()
}

// startControllers starts all but the callers' side.
func (r *Router) startControllers(listener net.Listener) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.listener = peer.Serve(listener, r.counters, r.handle)
	r.group.Go(func() { r.claims.Run(ctx) })
	r.group.Go(func() { r.membership.run(ctx) })
	r.group.Go(func() { r.rollout.run(ctx) })
	return ctx
}
