// Package settings holds the per-process settings of a router and of a control
// node. Settings say where a process stands (addresses, zone, data folder);
// what the whole deployment does is said by the bundle.
package settings

import (
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
