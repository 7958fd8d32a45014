package router

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/listener"
	"quinceridge.example/quinceridge/internal/peer"
)

// StartControllers starts the router without its HTTP server: it communicates with control and
// with other routers, but serves no callers. Many such routers can run in one process.
// StopControllers stops it.
func (r *Router) StartControllers() error {
	listener, err := net.Listen("tcp", r.settings.PeerListen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	r.startControllers(listener)
	return nil
}

// StopControllers stops a router that was started by StartControllers.
func (r *Router) StopControllers() { r.shutdown() }

// InForce returns the version and digest of the bundle in force, or the zero value if there is none.
func (r *Router) InForce() controlapi.BundleID {
	if config := r.board.Config.Load(); config != nil {
		return config.BundleID
	}
	return controlapi.BundleID{}
}

// Serving reports whether the router may accept new requests.
func (r *Router) Serving() bool {
	leaseState := r.board.LeaseState.Load()
	return leaseState != nil && leaseState.Mode != "none"
}

// Traffic returns the number of bytes received from and sent to control and other routers.
func (r *Router) Traffic() (in, out uint64) {
	return r.counters.BytesIn.Load(), r.counters.BytesOut.Load()
}

// startControllers starts the peer server, which takes over the listener, and the controllers. It
// returns their context, which shutdown cancels.
func (r *Router) startControllers(peers net.Listener) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.group.Go(func() { r.guard.Run(ctx) })
	r.listener = peer.Serve(r.guard.Listen(peers, listener.Config{Name: "peers", Connections: r.capacity.Internal, Messages: true}), r.counters, r.handle)
	r.group.Go(func() { r.claims.Run(ctx) })
	r.group.Go(func() { r.membership.run(ctx) })
	r.group.Go(func() { r.rollout.run(ctx) })
	return ctx
}
