package soak

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/httpwire"
)

// floodFaults are the faults that send several times the usual rate to the engines, so that
// requests wait in the leader's queue. They have their own random source, so that they don't change
// the other faults of a seed.
var floodFaults = []fault{
	{"a tenant floods", func(s *Soak, ctx context.Context, r *rand.Rand) {
		s.flood(ctx, floodOf(r, floodTenant, engineKinds))
	}},
	{"callers flood a route", func(s *Soak, ctx context.Context, r *rand.Rand) {
		s.flood(ctx, floodOf(r, usualTenant, []string{pick(r, engineKinds)}))
	}},
	{"the leader is killed while requests of a flood wait", (*Soak).floodAndKillLeader},
}

const (
	usualTenant = "tenant"
	floodTenant = "flooding"
	floodKey    = "flooding-key"
	floodPause  = 6 * time.Second
	// floodTick is the interval between two batches of a flood.
	floodTick = 10 * time.Millisecond
	// minFloodRate and maxFloodRate bound the requests per second of a flood. The usual callers send
	// about 80 to the engines. Requests of a flood run floodSlowdown times as long as others, so that
	// the 48 slots of six engines finish about 90 of them in a second.
	minFloodRate  = 160
	maxFloodRate  = 240
	floodSlowdown = 3
	minFlood      = 2 * time.Second
	maxFlood      = 4 * time.Second
	// queuePollInterval is the time between two checks whether the leader's queue is filled.
	queuePollInterval = 50 * time.Millisecond

	// closingFlood is the duration of the flood after all other faults have ended. Requests must be
	// served again within floodRecovery after its end, which is checked over the calls sent in the
	// recoveryWindow that follows.
	closingFlood   = 3 * time.Second
	floodRecovery  = 5 * time.Second
	recoveryWindow = 2 * time.Second
	// maxRecoveryWindows bounds the repetitions of the window, and lossLogDelay is the time in which
	// a router that receives no placement has logged it.
	maxRecoveryWindows = 3
	lossLogDelay       = 200 * time.Millisecond
	// maxClosingFloods bounds the repetitions of the closing flood.
	maxClosingFloods = 3
	// recoveredShare is the share of requests that must be served on days within capacity, and
	// rejectedShare the share of arrivals that engines may reject in a surge (docs/design/overload.md).
	recoveredShare = 0.99
	rejectedShare  = 1.0 / 200
	// deviations is the number of standard deviations by which a count may exceed its expected value
	// before it is a breach.
	deviations = 3
	// faultEndTimeout bounds the wait for the end of all faults before the closing flood.
	faultEndTimeout = 30 * time.Second
)

var (
	engineKinds = []string{"stream", "chat"}
	queueDepth  = regexp.MustCompile(`(?m)^quinceridge_queue_waiting\{.*\} (\d+)$`)
)

// floodPlan describes one flood.
type floodPlan struct {
	tenant string
	kinds  []string
	rate   int
	length time.Duration
}

func floodOf(r *rand.Rand, tenant string, kinds []string) floodPlan {
	return floodPlan{tenant: tenant, kinds: kinds, rate: minFloodRate + r.IntN(maxFloodRate-minFloodRate),
		length: minFlood + time.Duration(r.Int64N(int64(maxFlood-minFlood)))}
}

// injectFloods starts random floods until the context ends.
func (s *Soak) injectFloods(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.config.Seed, 9))
	for wait(ctx, time.Duration(r.Int64N(int64(floodPause)))) {
		s.startFault(ctx, r, floodFaults[r.IntN(len(floodFaults))], 1)
		wait(ctx, maxFlood)
	}
}

// flood sends requests at the planned rate, whether earlier ones are answered or not, and returns
// when all are.
func (s *Soak) flood(ctx context.Context, plan floodPlan) {
	client := &http.Client{Timeout: callTimeout, Transport: httpwire.NewTransport(&http.Transport{MaxIdleConnsPerHost: plan.rate,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext})}
	defer client.CloseIdleConnections()
	number := s.floods.Add(1)
	var group sync.WaitGroup
	begun, sent := s.now(), 0
	for elapsed := time.Duration(0); elapsed < plan.length; elapsed = s.now() - begun {
		for due := int(elapsed.Seconds() * float64(plan.rate)); sent < due; sent++ {
			c := &call{id: fmt.Sprintf("%s%d-%d", floodPrefix, number, sent), kind: plan.kinds[rand.IntN(len(plan.kinds))],
				tenant: plan.tenant, key: floodKey, flood: true}
			if plan.tenant == usualTenant {
				c.key = s.key()
			}
			group.Go(func() {
				s.send(client, c)
				s.results.add(c)
			})
		}
		if !wait(ctx, floodTick) {
			break
		}
	}
	group.Wait()
}

// floodPrefix begins the IDs of the requests of floods. IDs of others begin with other letters.
const floodPrefix = "f"

func eventPauseOf(id string) time.Duration {
	switch {
	case strings.HasPrefix(id, floodPrefix):
		return floodSlowdown * eventPause
	case strings.HasPrefix(id, longPrefix):
		return longEventPause
	}
	return eventPause
}

// floodAndKillLeader kills the leader as soon as requests wait in its queue.
func (s *Soak) floodAndKillLeader(ctx context.Context, r *rand.Rand) {
	plan := floodOf(r, floodTenant, engineKinds)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { s.flood(ctx, plan) })
	for end := s.now() + plan.length; s.now() < end && wait(ctx, queuePollInterval); {
		p := s.leader(ctx)
		if p == nil || s.queueDepth(ctx, p) == 0 {
			continue
		}
		if release, ok := s.acquire(p); ok {
			defer release()
			p.process.Kill()
			s.mu.Lock()
			s.report.LeadersKilledWithQueue++
			s.mu.Unlock()
			wait(ctx, faultDuration(r))
			_ = p.process.Start()
		}
		return
	}
}

// queueDepth returns the number of requests in a coordinator's queue.
func (s *Soak) queueDepth(ctx context.Context, p *program) int {
	total := 0
	for _, match := range queueDepth.FindAllStringSubmatch(s.metricsOf(ctx, p), -1) {
		count, _ := strconv.Atoi(match[1])
		total += count
	}
	return total
}

// FloodReport is the result of the floods without other faults that end a run.
type FloodReport struct {
	// Arrivals and Rejections count the requests that engines received and rejected during the last
	// flood and until its last request was answered.
	Arrivals   int64 `json:"arrivals"`
	Rejections int64 `json:"rejections"`
	// LeaderLosses is the number of times that a router lost the leader or received no placement in
	// time, for each flood. Only a flood without losses is checked for rejections, since routers
	// decide without the queue meanwhile.
	LeaderLosses []int `json:"leader_losses"`
	// Upgraded is false if processes still ran the older build; nothing is checked then.
	Upgraded bool `json:"upgraded"`
	// MaxWaiting is the largest observed length of the leader's queue.
	MaxWaiting int `json:"max_waiting"`
	// After and AfterServed count the calls of the usual callers that were sent after the recovery
	// time, and those of them that were served.
	After       int `json:"after"`
	AfterServed int `json:"after_served"`
	// WindowLosses are the losses of the leader in each window in which calls were to be served. Only
	// one without losses is checked, the last.
	WindowLosses []int `json:"window_losses"`
	// to is the end of the last flood. Calls sent from windowFrom to windowTo must be served.
	to, windowFrom, windowTo time.Duration
}

// closeWithFlood waits until all faults and their effects have ended, floods the engines and waits
// for the recovery. A busy machine may delay the leader beyond its lease, so the flood is repeated
// if the leader was lost.
func (s *Soak) closeWithFlood(ctx context.Context) {
	for end := s.now() + faultEndTimeout; s.activeFaults.Load() > 0; {
		if s.now() > end || !wait(ctx, queuePollInterval) {
			s.recordBreach("faults had not ended %v after the last one began", faultEndTimeout)
			return
		}
	}
	report := &FloodReport{Upgraded: true}
	for _, p := range slices.Concat(s.coordinators, s.routers) {
		report.Upgraded = report.Upgraded && p.process.Binary == s.config.Binary
	}
	plan := floodOf(rand.New(rand.NewPCG(s.config.Seed, 10)), floodTenant, engineKinds)
	plan.length = closingFlood
	for range maxClosingFloods {
		losses := s.leaderLosses()
		wait(ctx, recoveryTime)
		s.measureFlood(ctx, plan, report)
		losses = s.leaderLosses() - losses
		report.LeaderLosses = append(report.LeaderLosses, losses)
		if losses == 0 {
			break
		}
	}
	wait(ctx, report.to+floodRecovery-s.now())
	for range maxRecoveryWindows {
		losses := s.leaderLosses()
		report.windowFrom = s.now()
		wait(ctx, recoveryWindow)
		report.windowTo = s.now()
		// A router logs a placement that it did not receive in time.
		wait(ctx, lossLogDelay)
		report.WindowLosses = append(report.WindowLosses, s.leaderLosses()-losses)
		if report.WindowLosses[len(report.WindowLosses)-1] == 0 {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.ClosingFlood = report
}

// measureFlood floods the engines and records their arrivals and rejections.
func (s *Soak) measureFlood(ctx context.Context, plan floodPlan, report *FloodReport) {
	arrivals, rejections := s.engineArrivals.Load(), s.engineRejections.Load()
	watchCtx, endWatch := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() {
		for wait(watchCtx, queuePollInterval) {
			if p := s.leader(watchCtx); p != nil {
				report.MaxWaiting = max(report.MaxWaiting, s.queueDepth(watchCtx, p))
			}
		}
	})
	report.to = s.now() + plan.length
	s.flood(ctx, plan)
	endWatch()
	watch.Wait()
	report.Arrivals, report.Rejections = s.engineArrivals.Load()-arrivals, s.engineRejections.Load()-rejections
}

// leaderLosses returns the number of times that routers have lost the leader or received no
// placement in time from it, by their logs.
func (s *Soak) leaderLosses() int {
	losses := 0
	for _, p := range s.routers {
		log, err := os.ReadFile(filepath.Join(s.config.Folder, p.name+".log"))
		if err == nil {
			losses += bytes.Count(log, []byte(`"msg":"leader lost"`)) + bytes.Count(log, []byte(`"msg":"leader does not place requests`))
		}
	}
	return losses
}

// checkFloodRejections names the check of the share of requests that engines reject.
const checkFloodRejections = "soak-flood-rejections"

// checkAfterFlood names the check of the share of calls that are served after the closing flood.
const checkAfterFlood = "soak-after-flood"

// checkClosingFlood records a breach if engines rejected more than their share during the closing
// flood, or if callers were not served after it.
func (s *Soak) checkClosingFlood(calls []*call) {
	f := s.report.ClosingFlood
	if f == nil {
		return
	}
	for _, c := range calls {
		// 401 is the correct response to a revoked key, and 503 that to a stream whose software version has
		// left: checkResumed counts resumed streams.
		if c.flood || c.resumes != "" || c.status == http.StatusUnauthorized || c.sent < f.windowFrom || c.sent >= f.windowTo {
			continue
		}
		f.After++
		if c.served() {
			f.AfterServed++
		}
	}
	if !f.Upgraded {
		return
	}
	expected := rejectedShare * float64(f.Arrivals)
	if allowed := expected + deviations*math.Sqrt(expected); f.LeaderLosses[len(f.LeaderLosses)-1] == 0 && float64(f.Rejections) > allowed {
		s.recordCheck(checkFloodRejections, "engines rejected %d of %d arrivals in the closing flood, allowed %.1f", f.Rejections, f.Arrivals, allowed)
	}
	if f.WindowLosses[len(f.WindowLosses)-1] > 0 {
		return
	}
	if f.After == 0 || float64(f.AfterServed) < recoveredShare*float64(f.After) {
		s.recordCheck(checkAfterFlood, "%d of %d calls were served %v after the closing flood", f.AfterServed, f.After, floodRecovery)
	}
}

// waitTolerance is the time beyond its route's time-out after which a call must have ended.
const waitTolerance = 500 * time.Millisecond

// checkDuration records a breach if a call took longer than its route's time-out, unless its router
// was disturbed. The time for which this process was not scheduled, or the router answered no
// readiness request, is not counted: on a busy machine it exceeds half a second.
func (s *Soak) checkDuration(c *call) {
	allowed := timeoutOf(c.kind) + waitTolerance
	if c.took <= allowed {
		return
	}
	allowed += s.stalls.between(c.sent, c.sent+c.took)
	if m := s.routerStalls[c.router]; m != nil {
		allowed += m.between(c.sent, c.sent+c.took)
	}
	if c.took <= allowed {
		return
	}
	if s.disturbed(c.sent+c.took, func(d *disturbance) bool { return d.router == c.router }) {
		return
	}
	s.recordBreach("%s %s to %s, sent at %v, took %v, allowed %v: status %d", c.kind, c.id, c.router, c.sent, c.took, allowed, c.status)
}

// stalls measures for how long this process is not scheduled, so that checks of durations don't
// depend on the load of the machine. It is safe for concurrent use.
type stalls struct {
	mu   sync.Mutex
	list []stall
}

type stall struct{ at, length time.Duration }

const (
	stallInterval = 20 * time.Millisecond
	// minStall is the delay of a timer below which it is not recorded.
	minStall = 10 * time.Millisecond
	// probeInterval is the time between two readiness requests to a router, and minProbeStall the
	// response time below which it is not recorded.
	probeInterval = 50 * time.Millisecond
	minProbeStall = 20 * time.Millisecond
)

// measure records stalls until the context ends.
func (m *stalls) measure(ctx context.Context, now func() time.Duration) {
	for last := now(); wait(ctx, stallInterval); {
		at := now()
		if late := at - last - stallInterval; late >= minStall {
			m.mu.Lock()
			m.list = append(m.list, stall{at: at, length: late})
			m.mu.Unlock()
		}
		last = at
	}
}

// probe records the time for which a router answers no readiness request, until the context ends.
func (m *stalls) probe(ctx context.Context, s *Soak, p *program) {
	client := &http.Client{Timeout: callTimeout, Transport: httpwire.NewTransport(&http.Transport{DisableKeepAlives: true})}
	for wait(ctx, probeInterval) {
		begun := s.now()
		response, err := client.Get("http://" + p.ready + "/readyz")
		if err == nil {
			_ = response.Body.Close()
		}
		if at := s.now(); at-begun >= minProbeStall {
			m.mu.Lock()
			m.list = append(m.list, stall{at: at, length: at - begun})
			m.mu.Unlock()
		}
	}
}

// between returns the total length of the stalls that ended in the given period.
func (m *stalls) between(from, to time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var total time.Duration
	for _, x := range m.list {
		if x.at >= from && x.at <= to+stallInterval {
			total += x.length
		}
	}
	return total
}
