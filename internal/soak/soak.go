// Package soak runs a deployment of coordinators and routers without disks as
// real processes, brings faults about by signals and loopback proxies, and
// checks what was promised. The seed fixes the faults.
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

	"quinceridge.example/quinceridge/internal/loopback"
	"quinceridge.example/quinceridge/internal/process"
)

const (
	coordinators = 5
	seeds        = 3
	startLimit   = 20 * time.Second
	// settle is the time without new faults at the end of a run.
	settle = 6 * time.Second
	// drainBinds is how soon after its acknowledgement a drain binds.
	drainBinds = 2 * time.Second
	revocation = 5 * time.Second
	// clingingPart is of how many callers one keeps its connection open.
	clingingPart = 3
)

// Config says what a soak runs.
type Config struct {
	// Binary is the quinceridge program.
	Binary string
	// Older is an earlier build of it that all processes run first and that Binary replaces,
	// one process after the other; empty for none.
	Older string
	// Folder takes settings, data and logs.
	Folder  string
	Seed    uint64
	Length  time.Duration
	Routers int
	Callers int
	// Engines and Workers are the back ends of the two pools.
	Engines int
	Workers int
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
}

// Soak is one run.
type Soak struct {
	config       Config
	ctx          context.Context
	begun        time.Time
	client       *http.Client
	coordinators []*program
	routers      []*program
	ledger       ledger
	results      results
	// asked maps request IDs to the routers that were asked.
	asked   sync.Map
	started atomic.Int64
	named   atomic.Int64
	group   sync.WaitGroup
	disk    sync.Mutex

	mu       sync.Mutex
	acked    []acknowledged
	backends []*backend
	// ends are when back ends ended under each poison request, by its body.
	ends         map[string][]time.Duration
	disturbances []*disturbance
	report       Report
	holders      map[uint64]string
}

// now is the time since the run began.
func (s *Soak) now() time.Duration { return time.Since(s.begun) }

// Run runs a soak and returns what it found.
func Run(ctx context.Context, config Config) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &Soak{config: config, ctx: ctx, begun: time.Now(), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		holders: map[uint64]string{}, ends: map[string][]time.Duration{}}
	s.named.Store(1)
	s.report = Report{Seed: config.Seed, Faults: map[string]int{}, Outcomes: map[string]int{}}
	defer s.stop()
	if err := s.launch(); err != nil {
		return nil, err
	}
	s.drive(ctx)
	s.check(context.WithoutCancel(ctx))
	return &s.report, nil
}

// drive lets callers, operator and faults work.
func (s *Soak) drive(ctx context.Context) {
	working, done := context.WithTimeout(ctx, s.config.Length)
	defer done()
	var group sync.WaitGroup
	group.Go(func() { s.operate(working) })
	for i := range s.config.Callers {
		group.Go(func() {
			if i%clingingPart == 0 {
				s.clingingCaller(working, i)
				return
			}
			s.caller(working, i)
		})
	}
	faulty, calm := context.WithTimeout(working, s.config.Length-settle)
	defer calm()
	wait(faulty, 3*time.Second)
	group.Go(func() { s.injectAnswers(faulty) })
	group.Go(func() { s.injectLimits(faulty) })
	group.Go(func() { s.upgrade(faulty) })
	s.inject(faulty)
	group.Wait()
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
		s.routers = append(s.routers, p)
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

// awaitReady puts a first configuration in force and waits for the routers.
func (s *Soak) awaitReady() error {
	ctx, cancel := context.WithTimeout(s.ctx, startLimit)
	defer cancel()
	for s.control(ctx, http.MethodPut, "/v1/configuration", documentOf(1)) != http.StatusOK {
		if !wait(ctx, 100*time.Millisecond) {
			return errors.New("no configuration was taken")
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
	var addresses [3]string
	for i := range addresses {
		var err error
		if addresses[i], err = loopback.FreeAddress(); err != nil {
			return nil, err
		}
	}
	folder := s.config.Folder
	return &program{name: name, listen: addresses[0], peer: addresses[1], ready: addresses[2], data: filepath.Join(folder, name),
		process: &process.Process{Name: name, Binary: cmp.Or(s.config.Older, s.config.Binary), Folder: folder,
			Args: []string{command, "--config", filepath.Join(folder, name+".yaml")}}}, nil
}

func (s *Soak) writeSettings(p *program, bootstrap bool) error {
	var known []string
	for _, c := range s.coordinators[:seeds] {
		known = append(known, fmt.Sprintf("%q", c.proxy.address()))
	}
	text := fmt.Sprintf("name: %s\nzone: zone\nlisten: %q\nseeds: [%s]\nlog: {format: json}\n", p.name, p.listen, strings.Join(known, ", "))
	if p.proxy != nil {
		text += fmt.Sprintf("peer_listen: %q\npeer_address: %q\nbootstrap: %v\ndata_directory: %q\nbackend_heartbeat: %v\nweights_deadline: 8s\norder_lease: 3s\nmetrics: %q\n",
			p.peer, p.proxy.address(), bootstrap, p.data, heartbeatEvery, p.ready)
	} else {
		text += fmt.Sprintf("readiness: %q\nrevocation: %v\nstop_grace: 8s\nretry_ratio: 0.2\nretry_burst: 50\nretry_window: 10s\nmemory_limit: 128\n", p.ready, revocation)
	}
	return errors.Wrap(os.WriteFile(filepath.Join(s.config.Folder, p.name+".yaml"), []byte(text), 0o600), "write settings")
}

func (s *Soak) addBackend(pool string) {
	s.addNamed(pool, fmt.Sprintf("%s-%d", pool, s.started.Add(1)))
}

// addNamed starts a back end under a name that it may have had.
func (s *Soak) addNamed(pool, name string) {
	b, err := s.startBackend(pool, name)
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

// remove takes a back end off the list, unless it is the pool's last but one.
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

// without returns the list without a back end. The lock is held.
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
