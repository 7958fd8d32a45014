package ratelimit

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
)

func plainBackend(id coordapi.BackendID) pushback.Backend {
	return pushback.Backend{ID: id, Pool: "app", Plain: true}
}

func TestUnknownBackendOfBrittlePoolGetsOneRequest(t *testing.T) {
	r := newRig()
	respond := func(b pushback.Backend, header http.Header) {
		r.ObserveResponse(b, string(b.ID), r.now, &http.Response{StatusCode: http.StatusOK, Header: header})
	}
	known, unknown := plainBackend("known"), plainBackend("unknown")
	_, allowed := r.Probe(unknown)
	assert.Assert(t, allowed && !r.Probing(unknown), "nothing is brittle yet")

	respond(known, http.Header{names.Brittle: {"4"}})
	p, allowed := r.Probe(unknown)
	assert.Assert(t, allowed && r.Probing(unknown))
	assert.NilError(t, r.Check(unknown.ID, p))
	_, allowed = r.Probe(unknown)
	assert.Assert(t, !allowed)
	for _, other := range []pushback.Backend{{ID: "unknown", Pool: "other", Plain: true}, {ID: "unknown", Pool: "app"}} {
		_, allowed = r.Probe(other)
		assert.Assert(t, allowed, "%+v", other)
	}

	// A request that got no response allows the next one; a permit that is never released does so later.
	r.Release(p)
	_, allowed = r.Probe(unknown)
	assert.Assert(t, allowed)
	r.now += probeTimeout
	_, allowed = r.Probe(unknown)
	assert.Assert(t, allowed)

	respond(unknown, http.Header{})
	for range 2 {
		_, allowed = r.Probe(unknown)
		assert.Assert(t, allowed && !r.Probing(unknown))
	}
}

// A back end that turns out to need a permit must not get a second request with the one for its first.
func TestProbeIsNoPermitForLimitedBackend(t *testing.T) {
	r := newRig()
	for _, id := range []coordapi.BackendID{"known", "unknown"} {
		p, allowed := r.Probe(plainBackend(id))
		assert.Assert(t, allowed)
		r.ObserveResponse(plainBackend(id), string(id), r.now, &http.Response{StatusCode: http.StatusOK, Header: http.Header{names.Brittle: {"4"}}})
		assert.ErrorIs(t, r.Check(id, p), ErrNoPermit)
	}
}
