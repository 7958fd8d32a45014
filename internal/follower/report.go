package follower

import (
	"context"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// The time between two reports is reportInterval plus reportIntervalPerRouter for each router of
// the deployment, up to maxReportInterval. The leader relies on first events being reported
// within about a second, and expires the work of a router without reports.
const (
	reportInterval          = 50 * time.Millisecond
	reportIntervalPerRouter = 3 * time.Millisecond
	maxReportInterval       = time.Second
)

// reportPeriod returns the time between two reports of one of many routers. A router with
// nothing to report skips its turn.
func reportPeriod(routers int) time.Duration {
	return min(reportInterval+reportIntervalPerRouter*time.Duration(routers), maxReportInterval)
}

// RunReports sends the leader the router's load, newly saved prompt parts and other reports
// until the context ends.
func (f *Follower) RunReports(ctx context.Context) {
	idle := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportPeriod(f.Routers())):
		case <-f.evidence.reportNow:
		}
		leader := f.following.Load()
		if leader == nil {
			continue
		}
		report := &coordapi.Tell{Router: f.name, Saved: f.config.Saved.Fresh(), Loads: f.config.Pool.OwnLoads(), Refused: f.config.Pool.Refused(),
			Reports: f.takeReports()}
		empty := report.Empty() && len(report.Saved) == 0 && len(report.Loads) == 0 && report.Refused == 0
		if empty && idle {
			continue
		}
		idle = empty
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		var reply coordapi.Reply
		err := f.config.Peers.Call(call, *leader, coordapi.KindCall, coordapi.Request{Tell: report}, &reply)
		if err != nil || reply.NotLeader {
			// Reports must arrive; everything else is sent anew each time.
			f.requeue(&report.Reports)
		}
		cancel()
	}
}
