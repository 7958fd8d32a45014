package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateReply is a delay of the leader's replies within which routers decide without it.
const lateReply = 100 * time.Millisecond

// lateLeaders are ways in which a leader responds late. Each runs until the context ends.
var lateLeaders = map[string]func(ctx context.Context, d *deployment, n *network){
	"late always": func(ctx context.Context, _ *deployment, n *network) {
		n.setLate(lateReply)
		<-ctx.Done()
	},
	"late in bursts": func(ctx context.Context, _ *deployment, n *network) {
		for late := lateReply; ctx.Err() == nil; late = lateReply - late {
			n.setLate(late)
			sleepUntil(ctx, 300*time.Millisecond)
		}
	},
	"lost for a second": func(ctx context.Context, d *deployment, n *network) {
		sleepUntil(ctx, limitGrace+limitWindow/2)
		n.isolate(d.leader(n), true)
		sleepUntil(ctx, time.Second)
		n.heal()
	},
}

func sleepUntil(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// permitMetrics returns what the coordinators count of permits.
func (d *deployment) permitMetrics() string {
	var out []string
	for i := range d.config {
		response, err := http.Get("http://" + d.config[i].Metrics + "/metrics")
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		for line := range strings.Lines(string(body)) {
			if name, is := strings.CutPrefix(line, "quinceridge_limit_rights_"); is && !strings.HasSuffix(name, " 0\n") {
				out = append(out, strings.TrimSpace(name))
			}
		}
	}
	return strings.Join(out, ", ")
}

// Guards against permits that nobody can use since the leader's replies come after routers have decided
// without it: limited back ends got little or nothing.
func TestLimitedBackendsAreUsedWhileLeaderRespondsLate(t *testing.T) {
	for name, beLate := range lateLeaders {
		for path, c := range map[string]struct {
			pool string
			rate float64
		}{"/chat/": {"llm", 1}, "/pay/": {"app", 1.3}} {
			t.Run(name+" "+c.pool, func(t *testing.T) {
				t.Parallel()
				d, n := newIsolatableDeployment(t, 7, 6)
				for range 3 {
					d.host("app")
				}
				limited := d.poolHosts(c.pool)[:2]
				begun := time.Now()
				d.setLimit(limited, strconv.FormatFloat(c.rate, 'g', -1, 64))
				ctx, cancel := context.WithTimeout(t.Context(), limitGrace+2*limitWindow)
				defer cancel()
				var group sync.WaitGroup
				group.Go(func() { beLate(ctx, d, n) })
				statuses := d.load(ctx, path)
				group.Wait()
				n.setLate(0)
				d.mu.Lock()
				defer d.mu.Unlock()
				for _, h := range limited {
					e := h.current
					allowed := int(1.5*c.rate*limitWindow.Seconds()) + limitSlack
					assert.Check(t, e.maxInWindow(begun) <= allowed, "%s got %d in %v, allowed %d", e.id, e.maxInWindow(begun), limitWindow, allowed)
					least := int(0.8 * c.rate * 2 * limitWindow.Seconds())
					got := e.arrivalsAfter(begun.Add(limitGrace))
					t.Logf("%s got %d of at least %d, at most %d in %v", e.id, got, least, e.maxInWindow(begun), limitWindow)
					assert.Check(t, got >= least, "%s got %d, below its limit", e.id, got)
				}
				assert.Check(t, statuses[http.StatusOK] > 0, "%v", statuses)
				t.Logf("callers got %v; permits: %s", statuses, d.permitMetrics())
			})
		}
	}
}
