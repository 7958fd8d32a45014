package coordinator

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/resumption"
	"quinceridge.example/quinceridge/internal/state"
)

// trackerRig is a tracker with the replicated state that it observes.
type trackerRig struct {
	t       *testing.T
	machine *state.Machine
	tracker softwareTracker
}

func newTrackerRig(t *testing.T) *trackerRig { return &trackerRig{t: t, machine: state.New()} }

func (r *trackerRig) apply(c state.Command) {
	r.t.Helper()
	text, err := json.Marshal(c)
	assert.NilError(r.t, err)
	_, err = r.machine.Apply(r.machine.Applied()+1, 1, text)
	assert.NilError(r.t, err)
}

func (r *trackerRig) enrol(id string, version state.SoftwareVersion) {
	r.t.Helper()
	r.apply(state.Command{Enrol: &state.Enrol{Backends: []state.Backend{{ID: id, Pool: "llm", Address: id, Software: version}}}})
}

func (r *trackerRig) depart(ids ...string) {
	r.t.Helper()
	r.apply(state.Command{Depart: &state.Depart{IDs: ids}})
}

const trackedLife = 30 * time.Second

// observe returns the notes on the pool after the tracker has observed the state.
func (r *trackerRig) observe(now time.Duration, leads bool) coordapi.SoftwareVersions {
	r.tracker.observe(now, trackedLife, r.machine.Deployment(), leads)
	return r.tracker.notes(func(string) bool { return true })["llm"]
}

func TestSingleSoftwareVersionIsNotAnnounced(t *testing.T) {
	r := newTrackerRig(t)
	for _, id := range []string{"a", "b"} {
		r.enrol(id, "v1")
	}
	r.enrol("unreported", "")
	r.depart("a")
	assert.DeepEqual(t, r.observe(time.Second, true), coordapi.SoftwareVersions{})
}

// A stream may be resumed until its life has passed since the last back end of its version left.
func TestFormerSoftwareVersionIsAnnouncedForLifeOfStream(t *testing.T) {
	r := newTrackerRig(t)
	r.enrol("a", "v1")
	r.observe(0, true)
	r.enrol("b", "v2")
	r.observe(time.Second, true)
	r.depart("a")
	versions := coordapi.SoftwareVersions{Serving: []state.SoftwareVersion{"v2"}, Held: []state.SoftwareVersion{"v2"}, Former: []state.SoftwareVersion{"v1"}}
	assert.DeepEqual(t, r.observe(2*time.Second, true), versions)
	assert.DeepEqual(t, r.observe(2*time.Second+trackedLife-1, true), versions)
	assert.DeepEqual(t, r.observe(2*time.Second+trackedLife, true), coordapi.SoftwareVersions{})
}

func TestSoftwareVersionsAreListed(t *testing.T) {
	r := newTrackerRig(t)
	r.enrol("a", "v1")
	r.enrol("b", "v2")
	r.enrol("c", "v2")
	r.observe(0, true)
	r.enrol("d", "v3")
	r.depart("a")
	r.observe(time.Second, true)
	assert.DeepEqual(t, r.tracker.list(r.machine.Deployment()), []coordapi.SoftwareInService{{Pool: "llm", Software: "v1", State: coordapi.SoftwareFormer},
		{Pool: "llm", Software: "v2", Backends: 2, State: coordapi.SoftwareServing}, {Pool: "llm", Software: "v3", Backends: 1, State: coordapi.SoftwareHeld}})
}

// A node that starts cannot tell when the versions of departed back ends left.
func TestStartedNodeCountsDepartedSoftwareVersions(t *testing.T) {
	r := newTrackerRig(t)
	r.enrol("a", "v1")
	r.enrol("b", "v2")
	r.depart("a")
	assert.DeepEqual(t, r.observe(time.Second, true), coordapi.SoftwareVersions{Serving: []state.SoftwareVersion{"v2"}, Former: []state.SoftwareVersion{"v1"}})
	assert.DeepEqual(t, r.observe(time.Second+trackedLife, true), coordapi.SoftwareVersions{})
}

// Back ends of a version must get no streams before each router has notice of several versions.
func TestNewSoftwareVersionIsHeldUntilAllRoutersHaveNotice(t *testing.T) {
	r := newTrackerRig(t)
	r.enrol("a", "v1")
	r.observe(0, true)
	r.enrol("b", "v2")
	held := coordapi.SoftwareVersions{Serving: []state.SoftwareVersion{"v1", "v2"}, Held: []state.SoftwareVersion{"v2"}}
	free := coordapi.SoftwareVersions{Serving: []state.SoftwareVersion{"v1", "v2"}}
	assert.DeepEqual(t, r.observe(10*time.Second, true), held)

	var soft softState
	soft.reset(0)
	r.tracker.release(10*time.Second, soft.allWatchersReceived)
	// Nothing was announced yet.
	assert.DeepEqual(t, r.observe(10*time.Second, true), held)
	r.tracker.announced(7)
	soft.recordWatch(10*time.Second, "router-1", 8, coordapi.NewLeaderToken(soft.epoch, 7))
	soft.recordWatch(10*time.Second, "router-2", 8, coordapi.NewLeaderToken(soft.epoch, 6))
	r.tracker.release(11*time.Second, soft.allWatchersReceived)
	// Router-2 has not received it.
	assert.DeepEqual(t, r.observe(11*time.Second, true), held)
	soft.recordWatch(11*time.Second, "router-2", 8, coordapi.NewLeaderToken("former", 9))
	r.tracker.release(11*time.Second, soft.allWatchersReceived)
	// Router-2 has received a change of a former leader.
	assert.DeepEqual(t, r.observe(11*time.Second, true), held)
	soft.recordWatch(11*time.Second, "router-2", 8, coordapi.NewLeaderToken(soft.epoch, 7))
	r.tracker.release(11*time.Second, soft.allWatchersReceived)
	assert.DeepEqual(t, r.observe(11*time.Second, true), free)
}

// Routers that do not watch the leader may serve until the end of their leases, and no longer.
func TestNewSoftwareVersionIsHeldForLeaseOfLostRouters(t *testing.T) {
	for name, lose := range map[string]func(*softState){
		"router that does not watch":   func(s *softState) { s.forgetWatchers(11 * time.Second) },
		"routers of the former leader": func(s *softState) { s.since = 9 * time.Second },
	} {
		r := newTrackerRig(t)
		r.enrol("a", "v1")
		r.observe(0, true)
		r.enrol("b", "v2")
		r.observe(10*time.Second, true)
		var soft softState
		soft.reset(0)
		soft.recordWatch(5*time.Second, "lost", 8, "")
		lose(&soft)
		r.tracker.announced(1)
		soft.routers = nil
		r.tracker.release(10*time.Second+maxServingLease-1, soft.allWatchersReceived)
		assert.Equal(t, len(r.observe(15*time.Second, true).Held), 1, name)
		r.tracker.release(10*time.Second+maxServingLease, soft.allWatchersReceived)
		assert.Equal(t, len(r.observe(15*time.Second, true).Held), 0, name)
	}
}

// Any coordinator keeps records, whether it leads or not.
func TestFollowersKeepRecordsOfStreams(t *testing.T) {
	g := newGroup(t, 3)
	key := resumption.KeyOf("alice", "1")
	record := resumption.Record{Key: key, Writer: resumption.Writer{Pool: "llm", Backend: "a", Software: "v1"}, Left: time.Minute}
	for _, s := range g.servers {
		reply, err := s.serve(t.Context(), coordapi.Request{FindStream: &coordapi.FindStream{Key: key}})
		assert.NilError(t, err)
		assert.Assert(t, reply.Stream != nil && reply.Stream.Writer == nil)
		_, err = s.serve(t.Context(), coordapi.Request{RecordStreams: &coordapi.RecordStreams{Streams: []resumption.Record{record}}})
		assert.NilError(t, err)
		reply, err = s.serve(t.Context(), coordapi.Request{FindStream: &coordapi.FindStream{Key: key}})
		assert.NilError(t, err)
		assert.DeepEqual(t, reply.Stream.Writer, &record.Writer)
	}
}

// Guards against heartbeats that coordinators of older builds pass on without the version.
func TestHeartbeatWithoutSoftwareVersionKeepsIt(t *testing.T) {
	old := state.Backend{ID: "a", Pool: "llm", Software: "v1"}
	row, changed := mergeHeartbeat(old, true, state.Backend{ID: "a", Pool: "llm"})
	assert.Assert(t, !changed)
	assert.Equal(t, row.Software, state.SoftwareVersion("v1"))
	row, changed = mergeHeartbeat(state.Backend{ID: "a", Pool: "llm"}, true, old)
	assert.Assert(t, changed)
	assert.Equal(t, row.Software, state.SoftwareVersion("v1"))
}
