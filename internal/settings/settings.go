// Package settings defines the settings of router and control processes. They describe the
// process itself, such as its addresses, zone and data directory. The bundle configures the
// deployment as a whole.
package settings

import (
	"time"

	"quinceridge.example/quinceridge/internal/config"
)

// Log configures a process's log.
type Log struct {
	// Format is text or json.
	Format string `yaml:"format" validate:"omitempty,oneof=text json"`
	// Level is the minimum level: debug, info, warn or error.
	Level string `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// Router holds the settings of a router process.
type Router struct {
	// Name identifies the router. It must be unique in the deployment.
	Name string `yaml:"name" validate:"required"`
	// Region and Zone are those of the machine.
	Region string `yaml:"region" validate:"required"`
	Zone   string `yaml:"zone" validate:"required"`
	// Listen is the address for callers, an IP address with a port.
	Listen string `yaml:"listen" validate:"required,tcp_addr"`
	// PeerListen is the address for other routers and operators, an IP address with a port.
	PeerListen string `yaml:"peer_listen" validate:"required,tcp_addr"`
	// DataDirectory is the directory of the current bundle and the last list of machines.
	DataDirectory string `yaml:"data_directory" validate:"required"`
	// Control lists the addresses of the control nodes, nearest first.
	Control []string `yaml:"control" validate:"required,min=1,unique,dive,tcp_addr"`
	// Heartbeat is the interval of heartbeats to the control nodes. Default 500ms.
	Heartbeat time.Duration `yaml:"heartbeat" validate:"omitempty,min=50ms,max=10s"`
	// MaxBody is the maximum size of a request body in bytes. Default 4 MiB.
	MaxBody int64 `yaml:"max_body" validate:"omitempty,min=1024,max=67108864"`
	// DrainLimit is the maximum duration of a graceful stop, after which open streams are
	// closed. Default 60s.
	DrainLimit time.Duration `yaml:"drain_limit" validate:"omitempty,min=1s,max=1h"`
	// MemoryLimit is the maximum memory of the process in MiB. Default 256.
	MemoryLimit int `yaml:"memory_limit" validate:"omitempty,min=32"`
	// DescriptorLimit is the number of descriptors that the process may open; 0 means the system's limit.
	DescriptorLimit int `yaml:"descriptor_limit" validate:"omitempty,min=64"`
	// Log configures the log.
	Log Log `yaml:"log"`
}

// SetDefaults sets the fields that the file omits to their defaults.
func (r *Router) SetDefaults() {
	r.Heartbeat = orDefault(r.Heartbeat, 500*time.Millisecond)
	r.MaxBody = orDefault(r.MaxBody, 4<<20)
	r.DrainLimit = orDefault(r.DrainLimit, time.Minute)
	r.MemoryLimit = orDefault(r.MemoryLimit, defaultMemoryLimit)
	r.Log.setDefaults()
}

// ControlPeer is a member of the control group.
type ControlPeer struct {
	// ID is the member's number, from 1. It must never be reused for another machine.
	ID uint64 `yaml:"id" validate:"required,min=1"`
	// Address is the member's peer address, an IP address with a port.
	Address string `yaml:"address" validate:"required,tcp_addr"`
}

// Control holds the settings of a control node.
type Control struct {
	// ID is this node's number in Peers.
	ID uint64 `yaml:"id" validate:"required,min=1"`
	// Region and Zone are those of the machine.
	Region string `yaml:"region" validate:"required"`
	Zone   string `yaml:"zone" validate:"required"`
	// Listen is the address for routers, other control nodes and operators, an IP address with a
	// port.
	Listen string `yaml:"listen" validate:"required,tcp_addr"`
	// Status is the address for health checks and metrics over HTTP.
	Status string `yaml:"status" validate:"required,tcp_addr"`
	// DataDirectory is the directory of the replicated log and its snapshots.
	DataDirectory string `yaml:"data_directory" validate:"required"`
	// Peers lists the initial members of the group, including this node.
	Peers []ControlPeer `yaml:"peers" validate:"required,min=1,unique=ID,dive"`
	// Join makes a new node start as a learner of an existing group.
	Join bool `yaml:"join"`
	// Platform is the address of the platform's list of machines.
	Platform string `yaml:"platform" validate:"required,tcp_addr"`
	// WatchZones are the zones in which this node polls engines for their load. Empty means all.
	WatchZones []string `yaml:"watch_zones" validate:"unique"`
	// Operators maps names to the hexadecimal Ed25519 public keys that may sign the first
	// bundle. Each later bundle is signed by the operators of the current one.
	Operators map[string]string `yaml:"operators" validate:"dive,hexadecimal,len=64"`
	// Approvals is the number of operators that must sign the first bundle. Default 1.
	Approvals int `yaml:"approvals" validate:"omitempty,min=1,max=16"`
	// RouterLease is the time for which a router may accept work without a reply from a control
	// node. All control nodes must have the same value. Default 3s.
	RouterLease time.Duration `yaml:"router_lease" validate:"omitempty,min=1s,max=30s"`
	// Tick is the unit of the election timing. A leader sends heartbeats every 2 ticks, its
	// lease lasts 16, and an election starts after 20 to 40 ticks without a leader. Default
	// 50ms.
	Tick time.Duration `yaml:"tick" validate:"omitempty,min=5ms,max=1s"`
	// SnapshotEvery is the number of applied entries between snapshots. Default 1000.
	SnapshotEvery uint64 `yaml:"snapshot_every" validate:"omitempty,min=10"`
	// MemoryLimit is the maximum memory of the process in MiB. Default 256.
	MemoryLimit int `yaml:"memory_limit" validate:"omitempty,min=32"`
	// DescriptorLimit is the number of descriptors that the process may open; 0 means the system's limit.
	DescriptorLimit int `yaml:"descriptor_limit" validate:"omitempty,min=64"`
	// Log configures the log.
	Log Log `yaml:"log"`
}

// SetDefaults sets the fields that the file omits to their defaults.
func (c *Control) SetDefaults() {
	c.RouterLease = orDefault(c.RouterLease, 3*time.Second)
	c.Tick = orDefault(c.Tick, 50*time.Millisecond)
	c.SnapshotEvery = orDefault(c.SnapshotEvery, 1000)
	c.Approvals = orDefault(c.Approvals, 1)
	c.MemoryLimit = orDefault(c.MemoryLimit, defaultMemoryLimit)
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
		out = append(out, config.Problem{Path: "$.approvals", Message: "exceeds the number of operators"})
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
