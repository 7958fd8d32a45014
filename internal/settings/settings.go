// Package settings holds the per-process settings of a router and of a control
// node. Settings say where a process stands (addresses, zone, data folder);
// what the whole deployment does is said by the bundle.
package settings

import (
	"net"
	"strconv"
	"time"

	"quinceridge.example/quinceridge/internal/config"
)

// Log says how a process writes its log.
type Log struct {
	// Format is text or json.
	Format string `yaml:"format" validate:"omitempty,oneof=text json"`
	// Level is the least level that is written: debug, info, warn or error.
	Level string `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// Router holds the settings of one router process.
type Router struct {
	// Name identifies the router. It must be unique in the deployment.
	Name string `yaml:"name" validate:"required"`
	// Region and Zone say where the router stands.
	Region string `yaml:"region" validate:"required"`
	Zone   string `yaml:"zone" validate:"required"`
	// Listen is the address for callers, an IP number with a port.
	Listen string `yaml:"listen" validate:"required,tcp_addr"`
	// PeerListen is the address for other routers and operators, an IP number
	// with a port.
	PeerListen string `yaml:"peer_listen" validate:"required,tcp_addr"`
	// DataDirectory keeps the bundle in force and the last list of machines.
	DataDirectory string `yaml:"data_directory" validate:"required"`
	// Control lists the addresses of the control nodes, the nearest first.
	Control []string `yaml:"control" validate:"required,min=1,unique,dive,tcp_addr"`
	// Heartbeat is the time between two heartbeats to control. Default 500ms.
	Heartbeat time.Duration `yaml:"heartbeat" validate:"omitempty,min=50ms,max=10s"`
	// MaxBody is the largest request body taken, in bytes. Default 4 MiB.
	MaxBody int64 `yaml:"max_body" validate:"omitempty,min=1024,max=67108864"`
	// DrainLimit bounds a planned stop: streams that last longer are cut.
	// Default 60s.
	DrainLimit time.Duration `yaml:"drain_limit" validate:"omitempty,min=1s,max=1h"`
	// Log says how the log is written.
	Log Log `yaml:"log"`
}

// SetDefaults fills the fields that the file leaves out.
func (r *Router) SetDefaults() {
	r.Heartbeat = orDefault(r.Heartbeat, 500*time.Millisecond)
	r.MaxBody = orDefault(r.MaxBody, 4<<20)
	r.DrainLimit = orDefault(r.DrainLimit, time.Minute)
	r.Log.setDefaults()
}

// ControlPeer names one member of the control group.
type ControlPeer struct {
	// ID is the member's number, from 1. It is never used again for another
	// machine.
	ID uint64 `yaml:"id" validate:"required,min=1"`
	// Address is the member's peer address, an IP number with a port.
	Address string `yaml:"address" validate:"required,tcp_addr"`
}

// Control holds the settings of one control node.
type Control struct {
	// ID is this node's number in Peers.
	ID uint64 `yaml:"id" validate:"required,min=1"`
	// Region and Zone say where the node stands.
	Region string `yaml:"region" validate:"required"`
	Zone   string `yaml:"zone" validate:"required"`
	// Listen is the address for routers, other control nodes and operators,
	// an IP number with a port.
	Listen string `yaml:"listen" validate:"required,tcp_addr"`
	// Status is the address of health and metrics over HTTP.
	Status string `yaml:"status" validate:"required,tcp_addr"`
	// DataDirectory keeps the replicated log and its snapshots.
	DataDirectory string `yaml:"data_directory" validate:"required"`
	// Peers lists the first members of the group, this node among them.
	Peers []ControlPeer `yaml:"peers" validate:"required,min=1,unique=ID,dive"`
	// Join makes a new node start as a learner of a group that runs already.
	Join bool `yaml:"join"`
	// Platform is the address of the platform's list of machines.
	Platform string `yaml:"platform" validate:"required,tcp_addr"`
	// WatchZones limits the engines that this node polls for load to these
	// zones. Empty means all.
	WatchZones []string `yaml:"watch_zones" validate:"unique"`
	// Operators maps names to the Ed25519 public keys, in hex, that may sign
	// the first bundle. Later ones are signed by the operators of the bundle in
	// force.
	Operators map[string]string `yaml:"operators" validate:"dive,hexadecimal,len=64"`
	// Approvals is how many operators must sign the first bundle. Default 1.
	Approvals int `yaml:"approvals" validate:"omitempty,min=1,max=16"`
	// RouterLease is how long a router may take work without hearing from
	// control. Default 3s. All control nodes must have the same value.
	RouterLease time.Duration `yaml:"router_lease" validate:"omitempty,min=1s,max=30s"`
	// Tick is the base of the election clock. Default 50ms. A leader's
	// heartbeat takes 2 ticks, its lease 16, and an election starts after 20 to
	// 40 ticks without a leader.
	Tick time.Duration `yaml:"tick" validate:"omitempty,min=5ms,max=1s"`
	// SnapshotEvery is the number of applied entries between snapshots.
	// Default 1000.
	SnapshotEvery uint64 `yaml:"snapshot_every" validate:"omitempty,min=10"`
	// Log says how the log is written.
	Log Log `yaml:"log"`
}

// Coordinator holds the settings of one coordinator: a control node of a
// deployment whose routers keep no disk.
type Coordinator struct {
	// Name identifies the machine. It must be unique in the deployment.
	Name string `yaml:"name" validate:"required"`
	// Zone says where the node stands.
	Zone string `yaml:"zone" validate:"required"`
	// Listen is the address for operators and back ends, an IP number with a
	// port.
	Listen string `yaml:"listen" validate:"required,tcp_addr"`
	// PeerListen is the address for routers and other coordinators.
	PeerListen string `yaml:"peer_listen" validate:"required,tcp_addr"`
	// PeerAddress is where the others reach PeerListen, when that is another
	// address. Default PeerListen.
	PeerAddress string `yaml:"peer_address" validate:"omitempty,tcp_addr"`
	// Seeds are addresses of some coordinators. At the first start of the
	// deployment they are the first members of the group.
	Seeds []string `yaml:"seeds" validate:"required,min=1,unique,dive,tcp_addr"`
	// PeerPort replaces the ports of Seeds, 0 to keep them.
	PeerPort int `yaml:"peer_port" validate:"min=0,max=65535"`
	// Bootstrap is true at the first start of the whole deployment only.
	Bootstrap bool `yaml:"bootstrap"`
	// DataDirectory keeps the replicated log and its snapshots.
	DataDirectory string `yaml:"data_directory" validate:"required"`
	// BackendHeartbeat is the time between two heartbeats of a back end.
	BackendHeartbeat time.Duration `yaml:"backend_heartbeat" validate:"required,min=10ms,max=1m"`
	// WeightsDeadline is the time from the naming of a version after which no
	// request starts on an older one.
	WeightsDeadline time.Duration `yaml:"weights_deadline" validate:"required,min=100ms"`
	// WeightsGuard is how long before that routers stop using older versions.
	// Default 1400ms.
	WeightsGuard time.Duration `yaml:"weights_guard"`
	// LoadTime is the assumed time of one load of weights. Default 800ms.
	LoadTime time.Duration `yaml:"load_time"`
	// LoadMargin is added to the time that the remaining loads need. Default
	// 700ms.
	LoadMargin time.Duration `yaml:"load_margin"`
	// LoadDivisor is how many engines there are for each load at a time.
	// Default 4.
	LoadDivisor int `yaml:"load_divisor"`
	// OrderLease is how long the machine that gave the last order to a back end
	// may go on to do so.
	OrderLease time.Duration `yaml:"order_lease" validate:"required,min=100ms"`
	// Metrics is the address of the node's figures over HTTP, empty for none.
	Metrics string `yaml:"metrics" validate:"omitempty,tcp_addr"`
	// Log says how the log is written.
	Log Log `yaml:"log"`
}

// SetDefaults fills the fields that the file leaves out.
func (c *Coordinator) SetDefaults() {
	c.PeerAddress = orDefault(c.PeerAddress, c.PeerListen)
	c.WeightsGuard = orDefault(c.WeightsGuard, 1400*time.Millisecond)
	c.LoadTime = orDefault(c.LoadTime, 800*time.Millisecond)
	c.LoadMargin = orDefault(c.LoadMargin, 700*time.Millisecond)
	c.LoadDivisor = orDefault(c.LoadDivisor, 4)
	c.Log.setDefaults()
}

// DisklessRouter holds the settings of a router that keeps no disk and follows
// the coordinators.
type DisklessRouter struct {
	// Name identifies the router's machine.
	Name string `yaml:"name" validate:"required"`
	// Zone says where the router stands.
	Zone string `yaml:"zone" validate:"required"`
	// Listen is the address for callers, an IP number with a port.
	Listen string `yaml:"listen" validate:"required,tcp_addr"`
	// Readiness is the address that tells whether the router takes callers.
	Readiness string `yaml:"readiness" validate:"required,tcp_addr"`
	// Seeds are addresses of some coordinators.
	Seeds []string `yaml:"seeds" validate:"required,min=1,unique,dive,tcp_addr"`
	// PeerPort replaces the ports of Seeds, 0 to keep them.
	PeerPort int `yaml:"peer_port" validate:"min=0,max=65535"`
	// Revocation is how long a removed key may go on to be served anywhere. The
	// router serves for that time, less a margin, after a coordinator vouched
	// for its configuration.
	Revocation time.Duration `yaml:"revocation" validate:"required,min=1s"`
	// StopGrace is the time from the order to stop until the process is killed.
	StopGrace time.Duration `yaml:"stop_grace" validate:"required,min=2s"`
	// RetryRatio and RetryBurst bound the repeats of all routers together in
	// RetryWindow: RetryRatio for each request, and RetryBurst.
	RetryRatio  float64       `yaml:"retry_ratio" validate:"min=0,max=1"`
	RetryBurst  float64       `yaml:"retry_burst" validate:"min=0"`
	RetryWindow time.Duration `yaml:"retry_window" validate:"required,min=100ms"`
	// MemoryLimit is the most memory that the process may take, in MiB.
	MemoryLimit int `yaml:"memory_limit" validate:"required,min=16"`
	// Metrics is the address of the router's figures over HTTP, empty for none.
	Metrics string `yaml:"metrics" validate:"omitempty,tcp_addr"`
	// Log says how the log is written.
	Log Log `yaml:"log"`
}

// SetDefaults fills the fields that the file leaves out.
func (r *DisklessRouter) SetDefaults() { r.Log.setDefaults() }

// RightLease is how long the router may serve after a coordinator vouched for
// its configuration.
func (r *DisklessRouter) RightLease() time.Duration { return r.Revocation - r.Revocation/7 }

// DrainLimit bounds a planned stop.
func (r *DisklessRouter) DrainLimit() time.Duration { return r.StopGrace - r.StopGrace/10 }

// Coordinators returns the peer addresses of the seeds.
func (r *DisklessRouter) Coordinators() []string { return peerAddresses(r.Seeds, r.PeerPort) }

// Coordinators returns the peer addresses of the seeds.
func (c *Coordinator) Coordinators() []string { return peerAddresses(c.Seeds, c.PeerPort) }

// peerAddresses replaces the ports of addresses.
func peerAddresses(addresses []string, port int) []string {
	out := make([]string, 0, len(addresses))
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err == nil && port != 0 {
			address = net.JoinHostPort(host, strconv.Itoa(port))
		}
		out = append(out, address)
	}
	return out
}

// SetDefaults fills the fields that the file leaves out.
func (c *Control) SetDefaults() {
	c.RouterLease = orDefault(c.RouterLease, 3*time.Second)
	c.Tick = orDefault(c.Tick, 50*time.Millisecond)
	c.SnapshotEvery = orDefault(c.SnapshotEvery, 1000)
	c.Approvals = orDefault(c.Approvals, 1)
	c.Log.setDefaults()
}

// Check implements config.Checker.
func (c *Control) Check() []config.Problem {
	var out []config.Problem
	found := false
	for _, p := range c.Peers {
		found = found || p.ID == c.ID
	}
	if !found && !c.Join {
		out = append(out, config.Problem{Path: "$.id", Message: "is not among the peers; a new node sets join: true"})
	}
	if c.Approvals > len(c.Operators) {
		out = append(out, config.Problem{Path: "$.approvals", Message: "is more than the operators listed"})
	}
	return out
}

func (l *Log) setDefaults() {
	l.Format = orDefault(l.Format, "text")
	l.Level = orDefault(l.Level, "info")
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
