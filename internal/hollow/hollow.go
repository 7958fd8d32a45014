// Package hollow runs real control nodes and real router controllers by the
// hundred, routers sharing a process, with engines that only report. It shows
// what membership and rollout cost at sizes that no machine holds as processes.
package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/control"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/controlclient"
	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/platformapi"
	"quinceridge.example/quinceridge/internal/router"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/standin"
	"quinceridge.example/quinceridge/internal/state"
)

// Config is the size of a hollow fleet.
type Config struct {
	Routers  int
	Workers  int
	Tenants  int
	Controls int
	Folder   string
	// Network is the second number of all addresses.
	Network int
	// Progress gets lines for people; nil drops them.
	Progress func(format string, args ...any)
}

const (
	operatorName = "hollow"
	settleLimit  = 60 * time.Second
	peerPort     = 7000
	statusPort   = 7001
	perRow       = 250
	region       = "region-1"
)

// Fleet is a running hollow fleet.
type Fleet struct {
	config   Config
	cancel   context.CancelFunc
	nodes    []*control.Server
	routers  []*router.Router
	peers    *peer.Client
	client   *controlclient.Client
	private  string
	public   string
	bundle   *bundle.Bundle
	platform *http.Server
	engines  sync.WaitGroup
	logger   *slog.Logger
}

func (c Config) address(row, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", c.Network, row+number/perRow, number%perRow+1, port)
}

// Rows of addresses by role.
const (
	rowControl = 1
	rowOther   = 2
	rowRouter  = 10
	rowEngine  = 40
)

// Start starts everything and waits until all routers serve by the first bundle.
func Start(config Config) (*Fleet, error) {
	f := &Fleet{config: config, logger: slog.New(slog.DiscardHandler)}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	steps := []func(context.Context) error{f.startOutside, f.startControl, f.startRouters, f.firstBundle}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// startOutside serves the platform's list and the engines' reports.
func (f *Fleet) startOutside(ctx context.Context) error {
	var list platformapi.List
	for i := range f.config.Workers {
		address := f.config.address(rowEngine, i, peerPort)
		id := fmt.Sprintf("engine-%04d", i)
		list.Machines = append(list.Machines, platformapi.Machine{ID: id, Role: "engine", Address: address, Region: region, Zone: fmt.Sprintf("zone-%d", i%5)})
		if err := f.startEngine(ctx, id, address); err != nil {
			return err
		}
	}
	listener, err := net.Listen("tcp", f.config.address(rowOther, 0, peerPort))
	if err != nil {
		return errors.Wrap(err, "listen for the list")
	}
	f.platform = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, list)
	})}
	go func() { _ = f.platform.Serve(listener) }()
	return nil
}

// startEngine serves one engine's status and its empty cache events.
func (f *Fleet) startEngine(ctx context.Context, id, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for an engine")
	}
	status := engineapi.Status{ID: id, Incarnation: "i-" + id, Model: "model-0", WeightsVersion: 1, DecodeSlots: 32}
	mux := http.NewServeMux()
	mux.HandleFunc(engineapi.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		now := status
		now.Running = int(time.Now().UnixNano() % 32)
		standin.WriteJSON(w, http.StatusOK, now)
	})
	mux.HandleFunc(engineapi.PathCacheEvents, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, engineapi.CachePage{Incarnation: status.Incarnation, First: 1})
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	f.engines.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

func (f *Fleet) controlAddresses() []string {
	var out []string
	for i := range f.config.Controls {
		out = append(out, f.config.address(rowControl, i, peerPort))
	}
	return out
}

func (f *Fleet) startControl(context.Context) error {
	public, private, err := bundle.GenerateKey()
	if err != nil {
		return err
	}
	f.public, f.private = public, private
	var peers []settings.ControlPeer
	for i, address := range f.controlAddresses() {
		peers = append(peers, settings.ControlPeer{ID: uint64(i + 1), Address: address})
	}
	for i := range f.config.Controls {
		s := settings.Control{ID: uint64(i + 1), Region: region, Zone: fmt.Sprintf("zone-%d", i%5), Listen: peers[i].Address,
			Status: f.config.address(rowControl, i, statusPort), DataDirectory: filepath.Join(f.config.Folder, fmt.Sprintf("control-%d", i)),
			Peers: peers, Platform: f.config.address(rowOther, 0, peerPort), Operators: map[string]string{operatorName: public}, Approvals: 1,
			WatchZones: []string{fmt.Sprintf("zone-%d", i%5)}}
		s.SetDefaults()
		node, err := control.NewServer(s, f.logger)
		if err != nil {
			return err
		}
		if err := node.Start(); err != nil {
			return err
		}
		f.nodes = append(f.nodes, node)
	}
	f.peers = peer.NewClient(&peer.Counters{})
	f.client = controlclient.New(f.peers, f.controlAddresses())
	return nil
}

func (f *Fleet) startRouters(context.Context) error {
	addresses := f.controlAddresses()
	for i := range f.config.Routers {
		s := settings.Router{Name: fmt.Sprintf("router-%04d", i), Region: region, Zone: fmt.Sprintf("zone-%d", i%5),
			Listen: f.config.address(rowRouter, i, statusPort), PeerListen: f.config.address(rowRouter, i, peerPort),
			DataDirectory: filepath.Join(f.config.Folder, fmt.Sprintf("router-%04d", i))}
		for n := range addresses {
			s.Control = append(s.Control, addresses[(i+n)%len(addresses)])
		}
		s.SetDefaults()
		r, err := router.New(s, f.logger)
		if err != nil {
			return err
		}
		if err := r.StartControllers(); err != nil {
			return err
		}
		f.routers = append(f.routers, r)
	}
	return nil
}

func (f *Fleet) firstBundle(ctx context.Context) error {
	f.bundle = MakeBundle(f.config.Tenants, f.public)
	_, err := f.propose(ctx)
	return err
}

// MakeBundle returns a bundle with so many tenants and 27 models.
func MakeBundle(tenants int, public string) *bundle.Bundle {
	b := &bundle.Bundle{Version: 1, Approvals: 1, Operators: map[string]string{operatorName: public}, Models: map[string]bundle.Model{},
		Classes: map[string]bundle.Class{"normal": {Priority: 50, FirstToken: time.Second}}, Tenants: map[string]bundle.Tenant{}}
	for i := range 27 {
		b.Models[fmt.Sprintf("model-%d", i)] = bundle.Model{WeightsVersion: 1, PrefillTokensPerSecond: 7000, MaxOutputTokens: 1024, Continuation: true}
	}
	for i := range tenants {
		b.Tenants[fmt.Sprintf("tenant-%05d", i)] = bundle.Tenant{KeySHA256: fmt.Sprintf("%064x", i), Weight: 1, Class: "normal"}
	}
	return b
}

// propose puts the fleet's bundle in force and returns how long it took from
// the proposal until every router served by it.
func (f *Fleet) propose(ctx context.Context) (time.Duration, error) {
	canonical, err := f.bundle.Canonical()
	if err != nil {
		return 0, err
	}
	digest := bundle.Digest(canonical)
	_, signature, err := bundle.Sign(f.private, digest)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	started := time.Now()
	command := state.Command{RequestID: digest, Propose: &state.Propose{Canonical: canonical, Signature: state.Signature{Operator: operatorName, Signature: signature}}}
	result, err := f.client.SubmitNamed(ctx, command)
	if err != nil {
		return 0, err
	}
	if result.Code != state.CodeOK {
		return 0, errors.Newf("proposal: %s %s", result.Code, result.Message)
	}
	if err := f.Settle(controlapi.Stamp{Version: f.bundle.Version, Digest: digest}); err != nil {
		return 0, err
	}
	return time.Since(started), nil
}

// Settle waits until all routers serve by the bundle.
func (f *Fleet) Settle(stamp controlapi.Stamp) error {
	deadline := time.Now().Add(settleLimit)
	for time.Now().Before(deadline) {
		behind := 0
		for _, r := range f.routers {
			if r.InForce() != stamp || !r.Serving() {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.Newf("the routers did not settle on version %d", stamp.Version)
}

// Change changes one tenant and returns how long the rollout took.
func (f *Fleet) Change() (time.Duration, error) {
	canonical, err := f.bundle.Canonical()
	if err != nil {
		return 0, err
	}
	f.bundle.Parent = bundle.Digest(canonical)
	f.bundle.Version++
	name := "tenant-00000"
	tenant := f.bundle.Tenants[name]
	tenant.Weight++
	f.bundle.Tenants[name] = tenant
	return f.propose(context.Background())
}

// Usage is what a quiet or busy time cost.
type Usage struct {
	Seconds float64
	// ProcessorSeconds is that of the whole process: routers, control nodes and
	// engines.
	ProcessorSeconds float64
	// BytesPerRouter is bytes a second, in and out, of one router.
	BytesPerRouter float64
}

// Measure watches the fleet for a time.
func (f *Fleet) Measure(length time.Duration) Usage {
	before, processor := f.traffic(), processorTime()
	time.Sleep(length)
	seconds := length.Seconds()
	return Usage{Seconds: seconds, ProcessorSeconds: processorTime() - processor,
		BytesPerRouter: float64(f.traffic()-before) / seconds / float64(max(len(f.routers), 1))}
}

func (f *Fleet) traffic() uint64 {
	total := uint64(0)
	for _, r := range f.routers {
		in, out := r.Traffic()
		total += in + out
	}
	return total
}

// processorTime is the process's user and system time in seconds.
func processorTime() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// Resident is the process's resident memory in bytes.
func Resident() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(strings.TrimSpace(string(text)), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// KillLeader ends the control node that leads without notice, and returns how long it took until another one held the lease.
func (f *Fleet) KillLeader() (time.Duration, error) {
	leader := -1
	for i := range f.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := f.client.StatusOf(ctx, f.controlAddresses()[i], controlapi.StatusRequest{})
		cancel()
		if err == nil && status.HoldsLease {
			leader = i
		}
	}
	if leader < 0 {
		return 0, errors.New("no leader")
	}
	started := time.Now()
	f.nodes[leader].Kill()
	f.nodes = append(f.nodes[:leader:leader], f.nodes[leader+1:]...)
	for time.Since(started) < settleLimit {
		status, err := f.client.Status(context.Background(), controlapi.StatusRequest{})
		if err == nil && status.HoldsLease {
			return time.Since(started), nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return 0, errors.New("no new leader")
}

// RestartRouters restarts a share of the routers at once and returns how long
// it took until all served again.
func (f *Fleet) RestartRouters(count int) (time.Duration, error) {
	stamp := f.routers[0].InForce()
	started := time.Now()
	for i := range count {
		f.routers[i].StopControllers()
	}
	kept := f.routers[count:]
	f.routers = nil
	whole := f.config.Routers
	f.config.Routers = count
	err := f.startRouters(context.Background())
	f.config.Routers = whole
	f.routers = append(f.routers, kept...)
	if err != nil {
		return 0, err
	}
	err = f.Settle(stamp)
	return time.Since(started), err
}

// Stop ends everything.
func (f *Fleet) Stop() {
	var group sync.WaitGroup
	for _, r := range f.routers {
		group.Go(r.StopControllers)
	}
	group.Wait()
	for _, node := range f.nodes {
		node.Kill()
	}
	if f.peers != nil {
		f.peers.Close()
	}
	if f.platform != nil {
		_ = f.platform.Close()
	}
	f.cancel()
	f.engines.Wait()
}

// Submit runs a command through the log.
func (f *Fleet) Submit(ctx context.Context, command state.Command) (state.Result, error) {
	return f.client.Submit(ctx, command)
}
