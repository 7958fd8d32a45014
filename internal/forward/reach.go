package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/reachability"
)

// PathCheckInterval is the interval at which CheckPaths is to be called.
const PathCheckInterval = 100 * time.Millisecond

// observeConnect records the result of an attempt to connect to a back end of a pool, or the loss of
// a connection, and starts a check of the path to the pool if one is needed.
func (h *Handler) observeConnect(pool string, started time.Duration, err error) {
	if err == nil {
		h.config.Paths.Connected(h.clock(), pool)
		return
	}
	if h.config.Paths.Failed(h.clock(), started, pool) {
		h.probes.group.Go(func() { h.checkPath(pool, reachability.CheckSize, err) })
	}
}

// CheckPaths checks the lost paths to pools again.
func (h *Handler) CheckPaths(context.Context) {
	var group sync.WaitGroup
	for _, pool := range h.config.Paths.Due(h.clock()) {
		group.Go(func() { h.checkPath(pool, reachability.RecheckSize, nil) })
	}
	group.Wait()
}

// checkPath connects to some back ends of a pool at once and records whether they were reached. Cause
// is the failure that requested the check; nil if the path is lost.
func (h *Handler) checkPath(pool string, size int, cause error) {
	targets := h.config.Pool.Sample(pool, size)
	var reached atomic.Int64
	var group sync.WaitGroup
	for _, address := range targets {
		group.Go(func() {
			if h.config.Upstream.Connect(context.Background(), address) == nil {
				reached.Add(1)
			}
		})
	}
	group.Wait()
	result := reachability.Result{Tried: len(targets), Reached: int(reached.Load())}
	verdict, changed, lostFor := h.config.Paths.Checked(h.clock(), pool, result)
	if !changed {
		return
	}
	if verdict == reachability.Lost {
		h.metrics.pathsLost.Add(1)
		h.config.Logger.Warn("path to a pool lost", "part", "reachability", "pool", pool, "tried", result.Tried, "reached", result.Reached, "cause", cause.Error())
		return
	}
	h.config.Pool.ForgetFailures(pool)
	h.config.Logger.Info("path to a pool is back", "part", "reachability", "pool", pool, "tried", result.Tried, "reached", result.Reached,
		"lost_ms", lostFor.Milliseconds())
}
