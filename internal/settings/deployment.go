package settings

import (
	"net"
	"strconv"
	"time"
)

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
	// WeightsGrace is how long after a version's naming answers of older ones
	// keep their whole worth. Default 1300ms.
	WeightsGrace time.Duration `yaml:"weights_grace"`
	// LoadDivisor is how many engines there are for each load at a time.
	// Default 5: with more at a time loads take longer.
	LoadDivisor int `yaml:"load_divisor"`
	// OrderLease is how long the machine that gave the last order to a back end
	// may go on to do so.
	OrderLease time.Duration `yaml:"order_lease" validate:"required,min=100ms"`
	// QuotaWindow is the time within which tenants' limits may be exceeded by
	// QuotaOvershoot, a part of what they allow, and QuotaSlack beyond, in the unit of
	// the limit. Default 8s, 0.1 and 0.
	QuotaWindow    time.Duration `yaml:"quota_window" validate:"omitempty,min=1s"`
	QuotaOvershoot float64       `yaml:"quota_overshoot" validate:"min=0,max=1"`
	QuotaSlack     float64       `yaml:"quota_slack" validate:"min=0"`
	// Metrics is the address of the node's figures over HTTP, empty for none.
	Metrics string `yaml:"metrics" validate:"omitempty,tcp_addr"`
	// Log says how the log is written.
	Log Log `yaml:"log"`
}

// SetDefaults fills the fields that the file leaves out.
func (c *Coordinator) SetDefaults() {
	c.PeerAddress = orDefault(c.PeerAddress, c.PeerListen)
	c.WeightsGuard = orDefault(c.WeightsGuard, 1400*time.Millisecond)
	c.WeightsGrace = orDefault(c.WeightsGrace, 1300*time.Millisecond)
	c.LoadDivisor = orDefault(c.LoadDivisor, 5)
	c.QuotaWindow = orDefault(c.QuotaWindow, 8*time.Second)
	c.QuotaOvershoot = orDefault(c.QuotaOvershoot, 0.1)
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

// ServingLease is how long the router may serve after a coordinator vouched for
// its configuration.
func (r *DisklessRouter) ServingLease() time.Duration { return r.Revocation - r.Revocation/7 }

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
