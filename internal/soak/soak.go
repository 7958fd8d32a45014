// Package soak runs a deployment of coordinators and diskless routers as real processes,
// injects faults with signals and loopback proxies, and checks the deployment's guarantees. The
// seed determines the sequence of faults.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/httpwire"
	"quinceridge.example/quinceridge/internal/loopback"
	"quinceridge.example/quinceridge/internal/process"
)

const (
	coordinators     = 5
	seedCoordinators = 3
	startTimeout     = 20 * time.Second
	// settle is the final part of a run, in which no new faults are injected.
	settle = 6 * time.Second
	// drainDeadline is the time after an acknowledged drain by which requests must stop
	// arriving.
	drainDeadline = 2 * time.Second
	revocation    = 5 * time.Second
	// stopGrace is the time for which a stopping router goes on with what it has begun.
	stopGrace = 8 * time.Second
	// persistentCallerRatio makes one of this many callers keep its connection open.
	persistentCallerRatio = 3
)

// Config holds the parameters of a soak run.
type Config struct {
	// Binary is the path of the quinceridge program.
	Binary string
	// Older is the path of an earlier build, which all processes run first and which Binary
	// then replaces, one process at a time. Empty means no upgrade.
	Older string
	// Folder is the directory for settings, data and logs.
	Folder  string
	Seed    uint64
	Length  time.Duration
	Routers int
	Callers int
	// Engines and Workers are the numbers of back ends in the two pools.
	Engines int
	Workers int
	// Known names the checks that KNOWN-RED.txt lists: their failures are reported as known.
	Known []string
}

// program is one process of the deployment.
type program struct {
	name    string
	listen  string
	peer    string
	ready   string
	data    string
	proxy   *proxy
	process *process.Process
	busy    atomic.Bool
	// relay is where a router accepts requests of others, and source the local IP address of its
	// connections to back ends.
	relay  string
	source string
}

// Soak is the state of one run.
type Soak struct {
	config       Config
	ctx          context.Context
	startedAt    time.Time
	client       *http.Client
	coordinators []*program
	routers      []*program
	runLog       runLog
	attemptLog   attemptLog
	results      results
	// requestRouters maps request IDs to the names of the routers that received them.
	requestRouters sync.Map
	// cuts are the routers that are cut from all back ends.
	cuts            cuts
	backendsStarted atomic.Int64
	weightsVersion  atomic.Int64
	// softwareReleases counts the releases of the engines' software.
	softwareReleases atomic.Int64
	floods           atomic.Int64
	// loads counts the times at which engines were loaded with long streams, and longStreams the callers
	// that send one.
	loads       atomic.Int64
	longStreams atomic.Int64
	// activeFaults is the number of faults that have not ended.
	activeFaults atomic.Int64
	// engineArrivals and engineRejections count the requests that engines received, and those that
	// they rejected because all their slots were in use.
	engineArrivals atomic.Int64
	// brokenResponses and resetUploads count what BrokenResponses and ResetUploads of the report do.
	brokenResponses, resetUploads atomic.Int64
	engineRejections              atomic.Int64
	stalls                        stalls
	// routerStalls are the times in which each router did not answer, by its name.
	routerStalls map[string]*stalls
	group        sync.WaitGroup
	// quorumMu is held by a fault that removes coordinators from the group, so that only one
	// such fault runs at a time.
	quorumMu sync.Mutex

	mu       sync.Mutex
	acked    []acknowledged
	backends []*backend
	// crashes maps the body of each poison request to the times at which it crashed back ends.
	crashes      map[string][]time.Duration
	disturbances []*disturbance
	report       Report
	holders      map[uint64]string
}

// now returns the time since the start of the run.
func (s *Soak) now() time.Duration { return time.Since(s.startedAt) }

// Run executes a soak and returns its report. The error is non-nil only if the deployment could
// not be started.
func Run(ctx context.Context, config Config) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &Soak{config: config, ctx: ctx, startedAt: time.Now(), client: &http.Client{Transport: httpwire.NewTransport(&http.Transport{DisableKeepAlives: true})},
		holders: map[uint64]string{}, crashes: map[string][]time.Duration{}, routerStalls: map[string]*stalls{}}
	s.weightsVersion.Store(1)
	s.report = Report{Seed: config.Seed, Faults: map[string]int{}, Outcomes: map[string]int{}, SilentCut: map[string]int{}, StopExcused: map[string]int{}}
	defer s.stop()
	if err := s.launch(); err != nil {
		return nil, err
	}
	s.drive(ctx)
	s.check(context.WithoutCancel(ctx))
	return &s.report, nil
}

// drive runs the callers, the operator and the fault injectors until the run's length has
// passed, and then the closing flood and the recovery from it.
func (s *Soak) drive(ctx context.Context) {
	runCtx, cancelRun := context.WithCancel(ctx)
	defer cancelRun()
	begun := s.now()
	var group sync.WaitGroup
	group.Go(func() { s.stalls.measure(runCtx, s.now) })
	for _, p := range s.routers {
		group.Go(func() { s.routerStalls[p.name].probe(runCtx, s, p) })
	}
	group.Go(func() { s.runOperator(runCtx) })
	for i := range s.config.Callers {
		group.Go(func() {
			switch {
			case i%persistentCallerRatio == 0:
				s.persistentCaller(runCtx, i)
			case i%resumingCallerRatio == 1:
				s.resumingCaller(runCtx, i)
			default:
				s.caller(runCtx, i)
			}
		})
	}
	faultCtx, cancelFaults := context.WithTimeout(runCtx, s.config.Length-settle)
	defer cancelFaults()
	wait(faultCtx, 3*time.Second)
	group.Go(func() { s.injectResponseFaults(faultCtx) })
	group.Go(func() { s.injectLimits(faultCtx) })
	group.Go(func() { s.injectLeaves(faultCtx) })
	group.Go(func() { s.injectReleases(faultCtx) })
	group.Go(func() { s.injectFloods(faultCtx) })
	group.Go(func() { s.injectSilences(faultCtx) })
	group.Go(func() { s.injectBrokenResponses(faultCtx) })
	if s.config.Older == "" {
		// Older builds block no parts.
		group.Go(func() { s.sendCrashingParts(faultCtx) })
	}
	group.Go(func() {
		s.activeFaults.Add(1)
		defer s.activeFaults.Add(-1)
		s.upgrade(faultCtx)
	})
	s.inject(faultCtx)
	wait(runCtx, begun+s.config.Length-s.now())
	s.closeWithFlood(runCtx)
	cancelRun()
	group.Wait()
	// A rejected request that runs later than its caller could wait for it is still noticed.
	wait(ctx, routeTimeout)
}

func (s *Soak) launch() error {
	for i := range coordinators {
		p, err := s.program(fmt.Sprintf("coordinator-%d", i), "coordinator")
		if err != nil {
			return err
		}
		if p.proxy, err = newProxy(p.peer); err != nil {
			return err
		}
		s.coordinators = append(s.coordinators, p)
	}
	for i := range s.config.Routers {
		p, err := s.program(fmt.Sprintf("router-%d", i), "edge")
		if err != nil {
			return err
		}
		p.source = fmt.Sprintf("127.0.%d.%d", 1+i/200, 1+i%200)
		s.routers = append(s.routers, p)
		s.routerStalls[p.name] = &stalls{}
	}
	for _, p := range slices.Concat(s.coordinators, s.routers) {
		if err := s.writeSettings(p, true); err != nil {
			return err
		}
		if err := p.process.Start(); err != nil {
			return err
		}
	}
	for range s.config.Engines {
		s.addBackend(poolEngines)
	}
	for range s.config.Workers {
		s.addBackend(poolWorkers)
	}
	return s.awaitReady()
}

// awaitReady applies the first configuration and waits until all routers are ready.
func (s *Soak) awaitReady() error {
	ctx, cancel := context.WithTimeout(s.ctx, startTimeout)
	defer cancel()
	for s.control(ctx, http.MethodPut, "/v1/configuration", documentOf(1)) != http.StatusOK {
		if !wait(ctx, 100*time.Millisecond) {
			return errors.New("no coordinator accepted the first configuration")
		}
	}
	for _, p := range s.routers {
		if err := process.AwaitHTTP(ctx, "http://"+p.ready+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) program(name, command string) (*program, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = loopback.FreeAddress(); err != nil {
			return nil, err
		}
	}
	folder := s.config.Folder
	return &program{name: name, listen: addresses[0], peer: addresses[1], ready: addresses[2], relay: addresses[3], data: filepath.Join(folder, name),
		process: &process.Process{Name: name, Binary: cmp.Or(s.config.Older, s.config.Binary), Folder: folder,
			Args: []string{command, "--config", filepath.Join(folder, name+".yaml")}}}, nil
}

func (s *Soak) writeSettings(p *program, bootstrap bool) error {
	var seedAddresses []string
	for _, c := range s.coordinators[:seedCoordinators] {
		seedAddresses = append(seedAddresses, fmt.Sprintf("%q", c.proxy.address()))
	}
	text := fmt.Sprintf("name: %s\nzone: zone\nlisten: %q\nseeds: [%s]\nlog: {format: json}\n", p.name, p.listen, strings.Join(seedAddresses, ", "))
	if p.proxy != nil {
		text += fmt.Sprintf("peer_listen: %q\npeer_address: %q\nbootstrap: %v\ndata_directory: %q\nbackend_heartbeat: %v\nweights_deadline: 8s\norder_lease: 3s\nmetrics: %q\n",
			p.peer, p.proxy.address(), bootstrap, p.data, heartbeatInterval, p.ready)
	} else {
		text += fmt.Sprintf("readiness: %q\nrevocation: %v\nstop_grace: %v\nretry_ratio: 0.2\nretry_burst: 50\nretry_window: 10s\nmemory_limit: 128\n", p.ready, revocation, stopGrace)
		if p.process.Binary == s.config.Binary {
			// Older builds lack these settings.
			text += fmt.Sprintf("relay_listen: %q\nsource: %q\n", p.relay, p.source)
		}
	}
	return errors.Wrap(os.WriteFile(filepath.Join(s.config.Folder, p.name+".yaml"), []byte(text), 0o600), "write settings")
}

func (s *Soak) addBackend(pool string) {
	s.addBackendNamed(pool, fmt.Sprintf("%s-%d", pool, s.backendsStarted.Add(1)), anyAddress)
}

// addBackendNamed starts a back end under a name and at an address that a stopped back end may have
// had.
func (s *Soak) addBackendNamed(pool, name, address string) {
	b, err := s.startBackend(pool, name, address, false)
	if err != nil && address != anyAddress {
		// Another process has taken the port.
		b, err = s.startBackend(pool, name, anyAddress, false)
	}
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backends = append(s.backends, b)
}

func (s *Soak) listBackends() []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.backends)
}

// remove deletes a back end from the list and reports whether it did. It keeps at least two
// back ends in each pool.
func (s *Soak) remove(b *backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rest := s.without(b)
	left := 0
	for _, x := range rest {
		if x.pool == b.pool {
			left++
		}
	}
	if left < 2 || len(rest) == len(s.backends) {
		return false
	}
	s.backends = rest
	return true
}

// without returns a copy of the list without b. The caller must hold s.mu.
func (s *Soak) without(b *backend) []*backend {
	return slices.DeleteFunc(slices.Clone(s.backends), func(x *backend) bool { return x == b })
}

func (s *Soak) stop() {
	for _, p := range slices.Concat(s.coordinators, s.routers) {
		p.process.Kill()
		if p.proxy != nil {
			p.proxy.close()
		}
	}
	for _, b := range s.listBackends() {
		b.crash()
	}
}
