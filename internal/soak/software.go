package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/httpwire"
)

const (
	// releasePause is the maximum time between two releases of the engines' software, and
	// releaseStepPause that between two engines of one release.
	releasePause     = 6 * time.Second
	releaseStepPause = 400 * time.Millisecond
	// oldVersionShare makes one of this many engines that start have the version before.
	oldVersionShare = 4
	// resumingCallerRatio makes one of this many callers resume streams that break off, and
	// maxStreamTries bounds its attempts at one stream.
	resumingCallerRatio = 4
	maxStreamTries      = 4
	maxResumePause      = 150 * time.Millisecond
	// minResumedCalls is the number of attempts at resumed streams from which their share is checked, and
	// minResumedShare the share of the new streams that begin, of which as much must go on.
	minResumedCalls = 30
	minResumedShare = 0.5
)

// softwareOf returns the software version of an engine that starts.
func (s *Soak) softwareOf(pool string) string {
	if pool != poolEngines {
		return "v1"
	}
	number := s.softwareReleases.Load()
	if number > 0 && rand.IntN(oldVersionShare) == 0 {
		number--
	}
	return fmt.Sprintf("v%d", 1+number)
}

// injectReleases replaces all or some of the engines by ones of a new software version, one after the
// other, until the context ends. It does nothing with an older build, whose routers do not know versions.
func (s *Soak) injectReleases(ctx context.Context) {
	if s.config.Older != "" {
		return
	}
	r := rand.New(rand.NewPCG(s.config.Seed, 7))
	for wait(ctx, time.Duration(r.Int64N(int64(releasePause)))) {
		s.softwareReleases.Add(1)
		s.mu.Lock()
		s.report.Faults["release of the engines' software"]++
		s.mu.Unlock()
		for _, b := range s.listBackends() {
			if b.pool != poolEngines || r.IntN(3) == 0 {
				continue
			}
			if !wait(ctx, time.Duration(r.Int64N(int64(releaseStepPause)))) {
				return
			}
			s.group.Go(func() { s.drainAndStop(ctx, b, func(*backend) {}) })
		}
	}
}

// checkStreamVersions names the check that all events of a stream are of one software version.
const checkStreamVersions = "soak-stream-versions"

// resumed is a stream of a resuming caller.
type resumed struct {
	// first is the ID of the attempt that brought the first event, and events are all that its client has.
	first  string
	events []streamEvent
	at     time.Duration
}

// streamEvent is an event of a stream: its number, and the software version that wrote it.
type streamEvent struct {
	number  int
	version string
}

// parseEvents returns the complete events of a response's body.
func parseEvents(body string) []streamEvent {
	var out []streamEvent
	for text := range strings.SplitSeq(body, "\n\n") {
		id, data, found := strings.Cut(text, "\n")
		number, err := strconv.Atoi(strings.TrimPrefix(id, "id: "))
		_, version, named := strings.Cut(data, " by ")
		if found && named && err == nil {
			out = append(out, streamEvent{number, version})
		}
	}
	return out
}

// resumingCaller makes calls for streams, disconnects during some of them, and resumes those that are not
// complete, at any router.
func (s *Soak) resumingCaller(ctx context.Context, number int) {
	client := &http.Client{Timeout: callTimeout, Transport: httpwire.NewTransport(&http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext})}
	for count := 0; wait(ctx, callPause); count++ {
		stream := resumed{}
		for try := range maxStreamTries {
			c := &call{id: fmt.Sprintf("r%d-%d-%d", number, count, try), kind: "stream", key: s.key(), resumes: stream.first, after: len(stream.events)}
			if rand.IntN(2) == 0 {
				c.stopAfter = 1 + rand.IntN(streamEvents-1)
			}
			s.send(client, c)
			s.results.add(c)
			if stream.add(c); len(stream.events) >= streamEvents || (c.status == http.StatusOK && c.complete) {
				break
			}
			if !wait(ctx, rand.N(maxResumePause)) {
				break
			}
		}
		s.checkStream(&stream)
	}
}

// add adds the events that a call brought.
func (st *resumed) add(c *call) {
	events := parseEvents(c.body)
	if st.first == "" && len(events) > 0 {
		st.first, st.at = c.id, c.sent
	}
	st.events = append(st.events, events...)
}

// checkStream records a breach if a stream has events of several software versions, or if some are
// missing, come twice, or are out of order.
func (s *Soak) checkStream(st *resumed) {
	if s.config.Older != "" {
		return
	}
	var versions []string
	for i, e := range st.events {
		if e.number != i+1 {
			s.recordBreach("stream %s has event %d in place of %d", st.first, e.number, i+1)
			return
		}
		if !slices.Contains(versions, e.version) {
			versions = append(versions, e.version)
		}
	}
	if len(versions) > 1 {
		s.recordCheck(checkStreamVersions, "%v: stream %s has events of %v", st.at, st.first, versions)
	}
}

// checkResumed compares the share of resumed streams that go on with that of new streams that begin.
// Calls at routers with a fault, and the time around losses of most coordinators, are left out.
func (s *Soak) checkResumed(calls []*call) {
	var begun, served [2]int
	for _, c := range calls {
		if c.kind != "stream" || c.flood || s.config.Older != "" || s.disturbed(c.sent, func(d *disturbance) bool { return d.router == c.router }) {
			continue
		}
		i := 0
		if c.resumes != "" {
			i = 1
		}
		begun[i]++
		if c.status == http.StatusOK {
			served[i]++
		}
	}
	r := &s.report
	r.NewStreams, r.NewStreamsBegun, r.ResumedStreams, r.ResumedStreamsServed = begun[0], served[0], begun[1], served[1]
	if begun[1] < minResumedCalls || begun[0] < minResumedCalls {
		return
	}
	newShare, resumedShare := float64(served[0])/float64(begun[0]), float64(served[1])/float64(begun[1])
	if resumedShare < minResumedShare*newShare {
		s.recordBreach("%d of %d resumed streams went on, where %d of %d new ones began", served[1], begun[1], served[0], begun[0])
	}
}
