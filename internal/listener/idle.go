package listener

import (
	"time"

	"quinceridge.example/quinceridge/internal/socket"
)

// retire makes the server close the connection once it is idle. A request of which a byte has arrived by then is
// served. It reports whether the connection is idle.
func (c *Conn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retiring = true
	switch {
	case c.idle:
		_ = c.setReadDeadline(time.Time{})
	case c.unread:
		_ = c.Conn.SetReadDeadline(past)
	}
	return c.idle
}

// limitUnread bounds the time in which the server reads the rest of a body that the handler has not read, before it
// sends the response. A connection that is to be closed does not wait for it.
func (c *Conn) limitUnread() {
	// A connection that cannot be bounded has ended.
	_ = c.SetReadDeadline(time.Now().Add(unreadTimeout))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = true
	if c.retiring {
		_ = c.Conn.SetReadDeadline(past)
	}
}

// isRetiring reports whether the connection closes after the response to its request.
func (c *Conn) isRetiring() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retiring
}

// setReadDeadline sets the deadline of reads, which has passed if the connection is to be closed. The lock is held.
func (c *Conn) setReadDeadline(t time.Time) error {
	if c.ending.Load() || (c.idle && c.retiring && socket.Unread(c.Conn) == 0) {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// mayReadAgain reports whether the next request has arrived on an idle connection after its deadline was set to the
// past.
func (c *Conn) mayReadAgain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle && c.retiring && !c.ending.Load() && socket.Unread(c.Conn) > 0 && c.setReadDeadline(time.Time{}) == nil
}

// beginIdle records that the last response has been written. It returns false if the next request has begun to
// arrive.
func (c *Conn) beginIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.early, c.unread = !c.early, false, false
	return c.idle
}

// markActive records that the head of a request has been parsed, which may have been read with the request before.
func (c *Conn) markActive() {
	c.progress.arriving.Store(true)
	c.outOfHead.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.idle = false
		_ = c.setReadDeadline(time.Time{})
	}
}

// endIdle records that a byte has been read.
func (c *Conn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.idle:
		c.idle = false
		if c.retiring {
			// The rest of the request may follow.
			_ = c.setReadDeadline(time.Time{})
		}
	case c.fate.Load() == runs:
		c.early = true
	}
}
