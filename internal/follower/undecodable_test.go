package follower

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// undecodableDocument is one of a newer build.
const undecodableDocument = `{"version":9,"kind":"unsupported"}`

// offlineFollower returns a follower for views that a test applies, its pool, its log and the time.
func offlineFollower(lease time.Duration) (f *Follower, pool *rowPool, log *bytes.Buffer, now *time.Duration) {
	pool, log, now = &rowPool{}, &bytes.Buffer{}, new(time.Duration)
	f = New(Config{Name: "r", Lease: lease, Decode: decode, Pool: pool, Saved: discardSaved{}, Logger: slog.New(slog.NewTextHandler(log, nil))})
	f.started, f.clock = 0, func() time.Duration { return *now }
	return f, pool, log, now
}

// A router must not serve by an older configuration than the one in force, which may have removed a key, and must
// serve again by the next one that it can decode.
func TestUndecodableConfigurationEndsLease(t *testing.T) {
	const lease = 4 * time.Second
	f, _, _, now := offlineFollower(lease)
	assert.Assert(t, f.applyView(*now, view(3).View))
	assert.Assert(t, f.Fresh())
	for *now = time.Second; *now < 10*time.Second; *now += time.Second {
		f.applyView(*now, &coordapi.View{Revision: 9, Version: 9, Document: []byte(undecodableDocument)})
		f.applyView(*now, &coordapi.View{Revision: 9, Version: 9})
		assert.Equal(t, f.Fresh(), *now < lease, "%v", *now)
		assert.Equal(t, f.Table().Version, uint64(3))
	}
	// A leader whose state is older does not know what is in force.
	f.applyView(*now, view(3).View)
	assert.Assert(t, !f.Fresh())
	assert.Assert(t, f.applyView(*now, view(10).View))
	assert.Assert(t, f.Fresh())
	version, err := f.Undecodable()
	assert.Equal(t, version, uint64(0))
	assert.NilError(t, err)
}

// Guards against a router that loses the rows of a view with the configuration, requests the view again each
// retryDelay and logs an error each time.
func TestUndecodableConfigurationIsRecordedOnce(t *testing.T) {
	f, pool, log, now := offlineFollower(time.Minute)
	assert.Assert(t, f.applyView(0, view(3).View))
	newer := &coordapi.View{Revision: 9, Version: 9, Document: []byte(undecodableDocument), Backends: []state.Backend{{ID: "a"}}}
	assert.Assert(t, f.applyView(0, newer), "the view is not to be requested again")
	assert.DeepEqual(t, pool.ids, []string{"a"})
	assert.Equal(t, f.revision, uint64(9))
	for range 100 {
		*now += retryDelay
		assert.Assert(t, f.applyView(*now, &coordapi.View{Revision: 10, Version: 9, Backends: []state.Backend{{ID: "b"}}}))
		assert.Equal(t, f.revision, uint64(10), "the whole state is not to be requested")
	}
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	lines = lines[1:]
	assert.Equal(t, len(lines), 1, "%s", log)
	assert.Assert(t, strings.Contains(lines[0], `msg="cannot decode configuration"`) && strings.Contains(lines[0], "version=9") && strings.Contains(lines[0], "error="), lines[0])
	version, err := f.Undecodable()
	assert.Equal(t, version, uint64(9))
	assert.ErrorContains(t, err, "invalid syntax")
}

// A view that cannot be unpacked is requested each retryDelay, and must not be logged each time.
func TestUnreadableViewsAreLoggedBoundedly(t *testing.T) {
	f, _, log, now := offlineFollower(time.Minute)
	for ; *now < 10*time.Second; *now += retryDelay {
		assert.Assert(t, !f.applyView(*now, &coordapi.View{Version: 3, PackedBackends: []byte("torn")}))
	}
	lines := strings.Count(log.String(), "cannot decode back ends")
	assert.Assert(t, lines > 0 && lines <= 11, "%d lines in 10 s", lines)
}
