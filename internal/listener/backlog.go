package listener

import (
	"context"
	"time"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/socket"
)

const (
	// backlogTime is the time after which a shutdown accepts only what stands in the backlog by then: clients that
	// keep connecting do not hold it up.
	backlogTime = 100 * time.Millisecond
	// backlogInterval is the time between two looks at a backlog.
	backlogInterval = time.Millisecond
	// backlogLooks is the number of looks in a row at which nothing was accepted, after which a shutdown does not
	// wait for the rest. Looks are counted, since time passes while the process is suspended.
	backlogLooks = 1000
)

// acceptBacklog waits until the server has accepted the connections in the backlog, which the kernel resets unread when
// the listener is closed. One that is established between the last look and the close is still reset.
func (l *Listener) acceptBacklog(ctx context.Context) {
	begun := clock.Now()
	for last := false; !last; {
		last = clock.Since(begun) >= backlogTime
		waiting := socket.Backlog(l.Listener)
		if waiting == 0 || !l.awaitAccepted(ctx, uint64(waiting)) {
			return
		}
	}
}

// awaitAccepted waits until so many connections have been accepted, or none waits. It returns false if that does not
// happen.
func (l *Listener) awaitAccepted(ctx context.Context, waiting uint64) bool {
	accepted := l.countAccepted()
	// A call of Accept that is under way may have taken its connection before.
	target := accepted + waiting + 1
	tick := time.NewTicker(backlogInterval)
	defer tick.Stop()
	for look := 0; look < backlogLooks; look++ {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
		now := l.countAccepted()
		if now >= target || socket.Backlog(l.Listener) == 0 {
			return true
		}
		if now > accepted {
			accepted, look = now, 0
		}
	}
	return false
}

// countAccepted returns the number of connections that were accepted.
func (l *Listener) countAccepted() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}
