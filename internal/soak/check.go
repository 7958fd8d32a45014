package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Report is the result of a soak. Broken lists the violated guarantees; a run passed if it is
// empty.
type Report struct {
	Seed    uint64 `json:"seed"`
	Calls   int    `json:"calls"`
	Served  int    `json:"served"`
	Refused int    `json:"refused"`
	Runs    int    `json:"runs"`
	// Outcomes counts calls by kind and status. Status 0 means no response, and an asterisk
	// marks a truncated response.
	Outcomes map[string]int `json:"outcomes"`
	Faults   map[string]int `json:"faults"`
	// Configurations is the number of acknowledged configurations.
	Configurations int `json:"configurations"`
	// Poisons is the number of distinct poison requests that crashed back ends, Ends the number
	// of back ends that crashed, and Blocked the number of attempts that were rejected before
	// they reached a back end.
	Poisons int `json:"poisons"`
	Ends    int `json:"ends"`
	Blocked int `json:"blocked"`
	// CrashingParts is the number of parts of prompts that crashed back ends, and EndsOfParts the
	// number of back ends that these crashed.
	CrashingParts int `json:"crashing_parts"`
	EndsOfParts   int `json:"ends_of_parts"`
	// BrokenResponses is the number of responses of back ends that were no HTTP, and ResetUploads that of uploads that
	// were answered with a part and reset.
	BrokenResponses int64 `json:"broken_responses"`
	ResetUploads    int64 `json:"reset_uploads"`
	// Replaced is the number of processes that were switched to another build.
	Replaced int      `json:"replaced,omitempty"`
	Broken   []string `json:"broken,omitempty"`
	// Known lists the failures of checks that KNOWN-RED.txt names.
	Known []string `json:"known,omitempty"`
	// FloodCalls, FloodServed and FloodRefused count the requests of floods, which Calls, Served and
	// Refused don't contain.
	FloodCalls   int `json:"flood_calls"`
	FloodServed  int `json:"flood_served"`
	FloodRefused int `json:"flood_refused"`
	// LeadersKilledWithQueue is the number of leaders that were killed while requests waited.
	LeadersKilledWithQueue int          `json:"leaders_killed_with_queue"`
	ClosingFlood           *FloodReport `json:"closing_flood,omitempty"`
	// EngineArrivals and EngineRejections count the requests that engines received in the whole run,
	// and those that they rejected because all their slots were in use.
	EngineArrivals   int64 `json:"engine_arrivals"`
	EngineRejections int64 `json:"engine_rejections"`
	// CutCalls and CutServed count the calls at routers that were cut from all back ends, and
	// BesideCalls and BesideServed those at the other routers in the same times.
	CutCalls     int `json:"cut_calls"`
	CutServed    int `json:"cut_served"`
	BesideCalls  int `json:"beside_calls"`
	BesideServed int `json:"beside_served"`
	// NewStreams and NewStreamsBegun count the calls for new streams at routers without a fault, and
	// ResumedStreams and ResumedStreamsServed those that resume a stream.
	NewStreams           int `json:"new_streams"`
	NewStreamsBegun      int `json:"new_streams_begun"`
	ResumedStreams       int `json:"resumed_streams"`
	ResumedStreamsServed int `json:"resumed_streams_served"`
	// SilentSlots is the number of slots of engines when they fell silent, and SilentSlotsInUse those of
	// them in use.
	SilentSlots      int `json:"silent_slots"`
	SilentSlotsInUse int `json:"silent_slots_in_use"`
	// Silences is the number of silences of back ends. SilentStreams counts the streams with an attempt
	// at an engine that was silent meanwhile, whose callers waited, SilentWhole those of them that were
	// whole and SilentCut, by cause, those that broke off or got 502 or 504. SilentRefused counts the streams that
	// were refused while an engine was silent.
	Silences      int            `json:"silences"`
	SilentStreams int            `json:"silent_streams"`
	SilentWhole   int            `json:"silent_whole"`
	SilentRefused int            `json:"silent_refused"`
	SilentCut     map[string]int `json:"silent_cut"`
	// Stops is the number of planned stops of routers, and StopCalls that of the requests that were sent
	// whole to a router while it stopped. StopUnread counts those of them whose connection was closed
	// before they were read, and StopExcused, by cause, those that were read and got no complete response.
	Stops       int            `json:"stops"`
	StopCalls   int            `json:"stop_calls"`
	StopUnread  int            `json:"stop_unread"`
	StopExcused map[string]int `json:"stop_excused,omitempty"`
}

// results records the calls of all callers.
type results struct {
	mu    sync.Mutex
	calls []*call
}

func (r *results) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// slack allows for the delay between an event and its observation by a check.
const slack = 700 * time.Millisecond

// recordBreach adds a violated guarantee to the report.
func (s *Soak) recordBreach(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Broken = append(s.report.Broken, fmt.Sprintf(format, arguments...))
}

// recordCheck adds a violated guarantee to the report, as a known one if its check is listed as such.
func (s *Soak) recordCheck(check, format string, arguments ...any) {
	if !slices.Contains(s.config.Known, check) {
		s.recordBreach(format, arguments...)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Known = append(s.report.Known, check+": "+fmt.Sprintf(format, arguments...))
}

// checkDrained records a breach if a drained back end receives a request from a router that was
// not disturbed recently. A resumed router may still send requests that it accepted before it
// received the update.
func (s *Soak) checkDrained(b *backend, id, router string, arrived time.Duration) {
	at := b.drainedAt.Load()
	if at == 0 || arrived <= time.Duration(at)+drainDeadline+slack {
		return
	}
	if router != "" && s.disturbed(arrived, func(d *disturbance) bool { return d.router == router }) {
		return
	}
	s.recordBreach("%v: %s got a request by %v %v after its drain was acknowledged", arrived, b.id, router, arrived-time.Duration(at))
}

// recordFence records a breach if two holders used the same fence.
func (s *Soak) recordFence(fence uint64, holder string) {
	s.mu.Lock()
	other, known := s.holders[fence]
	s.holders[fence] = holder
	s.mu.Unlock()
	if known && other != holder {
		s.recordBreach("fence %d was used by %s and by %s", fence, other, holder)
	}
}

// checkProcesses records a breach for each process that ended without a fault of the run.
func (s *Soak) checkProcesses() {
	for _, p := range slices.Concat(s.coordinators, s.routers) {
		for _, failure := range p.process.Failures() {
			s.recordBreach("process %s ended by itself: %s", p.name, failure)
		}
	}
}

// check verifies the guarantees that can only be checked after the run.
func (s *Soak) check(ctx context.Context) {
	s.checkProcesses()
	s.checkConfiguration(ctx)
	s.runLog.mu.Lock()
	runs := make(map[string][]run, len(s.runLog.runs))
	for _, r := range s.runLog.runs {
		runs[r.id] = append(runs[r.id], r)
	}
	s.report.Runs = len(s.runLog.runs)
	s.runLog.mu.Unlock()
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	for _, c := range s.results.calls {
		s.checkCall(c, runs[c.id])
	}
	s.checkPoison(s.results.calls, runs)
	s.report.BrokenResponses, s.report.ResetUploads = s.brokenResponses.Load(), s.resetUploads.Load()
	s.report.EngineArrivals, s.report.EngineRejections = s.engineArrivals.Load(), s.engineRejections.Load()
	s.checkClosingFlood(s.results.calls)
	s.checkCuts(s.results.calls)
	s.checkResumed(s.results.calls)
	s.checkSilentAnswers(s.results.calls)
	s.checkPlannedStops(s.results.calls)
	if s.report.Served*2 < s.report.Calls {
		s.recordBreach("only %d of %d calls were served", s.report.Served, s.report.Calls)
	}
}

// checkConfiguration verifies that the last acknowledged configuration can be read back.
func (s *Soak) checkConfiguration(ctx context.Context) {
	s.mu.Lock()
	s.report.Configurations = len(s.acked)
	newest := s.acked[len(s.acked)-1]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, p := range s.coordinators {
			status, body := s.controlAt(ctx, p.listen, http.MethodGet, "/v1/configuration", nil)
			if status != http.StatusOK {
				continue
			}
			// The next version may have been applied without an acknowledgement.
			if string(body) != string(documentOf(newest.version)) && string(body) != string(documentOf(newest.version+1)) {
				s.recordBreach("version %d was acknowledged and %.40s is read back", newest.version, body)
			}
			return
		}
		wait(ctx, 100*time.Millisecond)
	}
	s.recordBreach("no configuration can be read back; version %d was acknowledged", newest.version)
}

func (s *Soak) checkCall(c *call, runs []run) {
	s.checkDuration(c)
	if c.malformed != nil {
		s.recordBreach("%s %s at %s got what is no HTTP: %v", c.kind, c.id, c.router, c.malformed)
	}
	repeatable := c.kind == "safe" || isResumable(c.kind)
	if len(runs) > 1 && !repeatable {
		s.recordBreach("%s %s ran %d times", c.kind, c.id, len(runs))
	}
	// Older builds may forward a back end's own status for a repeatable request that has run.
	if c.rejected && len(runs) > 0 && (!repeatable || s.config.Older == "") {
		s.recordBreach("%s %s was refused as not run and ran at %s", c.kind, c.id, runs[0].backend)
	}
	for _, r := range runs {
		if r.tenant != cmp.Or(c.tenant, usualTenant) {
			s.recordBreach("%s ran for tenant %q", c.id, r.tenant)
		}
	}
	s.checkKey(c, runs)
	outcome := fmt.Sprintf("%s %d", c.kind, c.status)
	calls, served, refused := &s.report.Calls, &s.report.Served, &s.report.Refused
	if c.flood {
		outcome = "flood " + outcome
		calls, served, refused = &s.report.FloodCalls, &s.report.FloodServed, &s.report.FloodRefused
	}
	*calls++
	if c.status != 0 && !c.complete && !c.stopped {
		outcome += "*"
	}
	s.report.Outcomes[outcome]++
	switch {
	case c.rejected:
		*refused++
	case c.served():
		*served++
		if c.complete {
			s.checkResponse(c)
		}
	}
}

// checkKey records a breach if a request ran with a key that had been revoked.
func (s *Soak) checkKey(c *call, runs []run) {
	if len(runs) == 0 {
		return
	}
	for _, a := range s.acked {
		if !slices.Contains(a.keys, c.key) && a.version > keyNumber(c.key) && c.sent > a.at+revocation+slack {
			s.recordBreach("%s ran with %s, %v after version %d had taken it away", c.id, c.key, c.sent-a.at, a.version)
			return
		}
	}
}

func keyNumber(key string) uint64 {
	var number uint64
	_, _ = fmt.Sscanf(key, "key-%d", &number)
	return number
}

// expectedStream returns the events that a call must have brought, all of the software version of the
// first one. Routers of an older build may join versions.
func (s *Soak) expectedStream(c *call) string { return expectedEvents(c, s.config.Older != "") }

// expectedEvents returns the events that a call must have brought. They are of the version of the first one, or
// of those that the call has brought if several are allowed.
func expectedEvents(c *call, several bool) string {
	got, version := parseEvents(c.body), ""
	var text strings.Builder
	for i := c.after + 1; i <= streamEvents; i++ {
		if at := i - c.after - 1; at < len(got) && (at == 0 || several) {
			version = got[at].version
		}
		text.WriteString(eventOf(c.id, i, version))
	}
	return text.String()
}

// checkResponse compares a complete response with the expected one.
func (s *Soak) checkResponse(c *call) {
	want := string(answerOf(c.id, []byte(c.bodyText())))
	if isStream(c.kind) {
		want = s.expectedStream(c)
	}
	if c.body != want || c.seal != sealOf(c.id) {
		if isStream(c.kind) && c.seal == sealOf(c.id) && c.body == expectedEvents(c, true) {
			s.recordCheck(checkStreamVersions, "%s %s got events of several software versions: %q", c.kind, c.id, c.body)
			return
		}
		s.recordBreach("%s %s got a wrong answer: seal %q, %.60q", c.kind, c.id, c.seal, c.body)
	}
}
