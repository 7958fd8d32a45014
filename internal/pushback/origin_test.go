package pushback

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// fakeConnection is a connection that was opened at a time.
type fakeConnection struct {
	openedAt state.UnixMilli
	open     bool
}

func (c *fakeConnection) OpenedAt() state.UnixMilli { return c.openedAt }
func (c *fakeConnection) IsOpen() bool              { return c.open }

const address = "127.0.0.1:1"

func laterID(born state.UnixMilli) coordapi.BackendID {
	return coordapi.BackendID(state.LaterRowID(state.Start{Name: "a", Born: born}))
}

// receiveOver records a Retry-After of 5 s, or that the back end drains, over a connection.
func (r *testRegistry) receiveOver(id coordapi.BackendID, c *fakeConnection, headers http.Header) {
	status := http.StatusOK
	if headers.Get(headerRetryAfter) != "" {
		status = http.StatusServiceUnavailable
	}
	from := Backend{ID: id, Pool: "p", From: Origin{Name: "a", Address: address, Connection: c}}
	r.ObserveResponse(from, "a", &http.Response{StatusCode: status, Header: headers})
}

func retryAfter() http.Header { return http.Header{headerRetryAfter: {"5"}} }

// A pushback belongs to the start at the other end of its connection: to the later one if that is open, or
// was opened after its start.
func TestPushbackBelongsToStartBehindConnection(t *testing.T) {
	for name, c := range map[string]struct {
		connection fakeConnection
		address    string
		holds      bool
	}{
		"open":                        {fakeConnection{openedAt: 200, open: true}, address, true},
		"open, and the clocks differ": {fakeConnection{openedAt: 50, open: true}, address, true},
		"opened after the start":      {fakeConnection{openedAt: 200}, address, true},
		"opened long after the start, by clocks that differ": {fakeConnection{openedAt: 100 + maxUnannounced}, address, false},
		"of the start before":                                {fakeConnection{openedAt: 50}, address, false},
		"the start has moved to another IP":                  {fakeConnection{openedAt: 200, open: true}, "127.0.0.2:1", false},
	} {
		t.Run(name, func(t *testing.T) {
			for what, headers := range map[string]http.Header{"wait": retryAfter(), "draining": {http.CanonicalHeaderKey(names.Draining): {"1"}}} {
				r := newTestRegistry()
				r.receiveOver("a", &c.connection, headers)
				r.TakeUnreported()
				for range 2 {
					r.Adopt(laterID(100), "a", c.address)
				}
				assert.Equal(t, r.Check(laterID(100)) != nil, c.holds, what)
				reports := r.TakeUnreported()
				assert.Equal(t, len(reports) == 1 && reports[0].ID == string(laterID(100)), c.holds, "%s: %v", what, reports)
			}
		})
	}
}

// Of the pushbacks of both starts each keeps its own.
func TestStartsKeepTheirOwnPushbacks(t *testing.T) {
	r := newTestRegistry()
	r.receiveOver("a", &fakeConnection{openedAt: 50}, http.Header{headerRetryAfter: {"60"}})
	r.receiveOver("a", &fakeConnection{openedAt: 200}, retryAfter())
	r.Adopt(laterID(100), "a", address)
	assert.Equal(t, r.Status(laterID(100)).Wait, 5*time.Second)
	assert.Equal(t, r.Status("a").Wait, time.Minute)
	r.now += 5 * time.Second
	r.Adopt(laterID(100), "a", address)
	assert.NilError(t, r.Check(laterID(100)))
	// A late answer to a request that was meant for the start before, and a further restart.
	r.receiveOver("a", &fakeConnection{openedAt: 300}, retryAfter())
	r.Adopt(laterID(100), "a", address)
	assert.ErrorIs(t, r.Check(laterID(100)), ErrUnavailable)
	r.Adopt(laterID(400), "a", address)
	assert.NilError(t, r.Check(laterID(400)))
}

// What arrives over many connections is bounded.
func TestReceivedPushbacksAreBounded(t *testing.T) {
	r := newTestRegistry()
	for i := range 100 {
		r.receiveOver("a", &fakeConnection{openedAt: state.UnixMilli(i)}, retryAfter())
	}
	assert.Equal(t, len(r.entries["a"].received), maxReceived)
	r.Adopt(laterID(99), "a", address)
	assert.ErrorIs(t, r.Check(laterID(99)), ErrUnavailable)
}
