package settings

import (
	"net"
	"strconv"
	"time"
)

// defaultMemoryLimit is the default of the memory limits of processes, in MiB.
const defaultMemoryLimit = 256

// Coordinator holds the settings of a coordinator, which is a control node of a deployment with
// diskless routers.
type Coordinator struct {
	// Name identifies the machine. It must be unique in the deployment.
	Name string `yaml:"name" validate:"required"`
	// Zone is the zone of the machine.
	Zone string `yaml:"zone" validate:"required"`
	// Listen is the address for operators and back ends, an IP address with a port.
	Listen string `yaml:"listen" validate:"required,tcp_addr"`
	// PeerListen is the address for routers and other coordinators.
	PeerListen string `yaml:"peer_listen" validate:"required,tcp_addr"`
	// PeerAddress is the address at which the others reach PeerListen, if it differs. Default
	// PeerListen.
	PeerAddress string `yaml:"peer_address" validate:"omitempty,tcp_addr"`
	// Seeds are addresses of some coordinators. At the first start of the deployment they are
	// the initial members of the group.
	Seeds []string `yaml:"seeds" validate:"required,min=1,unique,dive,tcp_addr"`
	// PeerPort replaces the ports of Seeds; 0 keeps them.
	PeerPort int `yaml:"peer_port" validate:"min=0,max=65535"`
	// Bootstrap is true only at the first start of the whole deployment.
	Bootstrap bool `yaml:"bootstrap"`
	// DataDirectory is the directory of the replicated log and its snapshots.
	DataDirectory string `yaml:"data_directory" validate:"required"`
	// BackendHeartbeat is the interval of back ends' heartbeats.
	BackendHeartbeat time.Duration `yaml:"backend_heartbeat" validate:"required,min=10ms,max=1m"`
	// WeightsDeadline is the time after the announcement of a weights version from which no
	// request may start on an older one.
	WeightsDeadline time.Duration `yaml:"weights_deadline" validate:"required,min=100ms"`
	// WeightsGuard is the time before that deadline at which routers stop using older versions.
	// Default 1400ms.
	WeightsGuard time.Duration `yaml:"weights_guard"`
	// WeightsGrace is the time after the announcement of a version during which answers of older
	// versions keep their full value. Default 1300ms.
	WeightsGrace time.Duration `yaml:"weights_grace"`
	// LoadDivisor is the number of engines per concurrent load of weights. A lower value allows
	// more concurrent loads, each of which takes longer. Default 5.
	LoadDivisor int `yaml:"load_divisor"`
	// OrderLease is the time for which the machine that gave a back end the last order may give
	// it further ones.
	OrderLease time.Duration `yaml:"order_lease" validate:"required,min=100ms"`
	// QuotaWindow is the period over which a tenant's limit may be exceeded by QuotaOvershoot, a
	// fraction of the limit, plus QuotaSlack, in the unit of the limit. Default 8s, 0.1 and 0.
	QuotaWindow    time.Duration `yaml:"quota_window" validate:"omitempty,min=1s"`
	QuotaOvershoot float64       `yaml:"quota_overshoot" validate:"min=0,max=1"`
	QuotaSlack     float64       `yaml:"quota_slack" validate:"min=0"`
	// MemoryLimit is the maximum memory of the process in MiB. Default 256.
	MemoryLimit int `yaml:"memory_limit" validate:"omitempty,min=32"`
	// DescriptorLimit is the number of descriptors that the process may open; 0 means the system's limit.
	DescriptorLimit int `yaml:"descriptor_limit" validate:"omitempty,min=64"`
	// Metrics is the address for metrics over HTTP, empty for none.
	Metrics string `yaml:"metrics" validate:"omitempty,tcp_addr"`
	// Log configures the log.
	Log Log `yaml:"log"`
}

// SetDefaults sets the fields that the file omits to their defaults.
func (c *Coordinator) SetDefaults() {
	c.PeerAddress = orDefault(c.PeerAddress, c.PeerListen)
	c.WeightsGuard = orDefault(c.WeightsGuard, 1400*time.Millisecond)
	c.WeightsGrace = orDefault(c.WeightsGrace, 1300*time.Millisecond)
	c.LoadDivisor = orDefault(c.LoadDivisor, 5)
	c.QuotaWindow = orDefault(c.QuotaWindow, 8*time.Second)
	c.QuotaOvershoot = orDefault(c.QuotaOvershoot, 0.1)
	c.MemoryLimit = orDefault(c.MemoryLimit, defaultMemoryLimit)
	c.Log.setDefaults()
}

// DisklessRouter holds the settings of a router that stores nothing on disk and gets its
// configuration from the coordinators.
type DisklessRouter struct {
	// Name identifies the router's machine.
	Name string `yaml:"name" validate:"required"`
	// Zone is the zone of the machine.
	Zone string `yaml:"zone" validate:"required"`
	// Listen is the address for callers, an IP address with a port.
	Listen string `yaml:"listen" validate:"required,tcp_addr"`
	// Readiness is the address of the readiness check.
	Readiness string `yaml:"readiness" validate:"required,tcp_addr"`
	// Seeds are addresses of some coordinators.
	Seeds []string `yaml:"seeds" validate:"required,min=1,unique,dive,tcp_addr"`
	// PeerPort replaces the ports of Seeds; 0 keeps them.
	PeerPort int `yaml:"peer_port" validate:"min=0,max=65535"`
	// RelayListen is the address at which other routers pass requests on that they cannot send to any
	// back end. Empty means that this router neither accepts such requests nor passes any on.
	RelayListen string `yaml:"relay_listen" validate:"omitempty,tcp_addr"`
	// Source is the local IP address of connections to back ends; empty for the system's choice.
	Source string `yaml:"source" validate:"omitempty,ip"`
	// Revocation is the maximum time for which any router may still accept a removed API key. A
	// router serves for that time, less a margin, after a coordinator confirmed its
	// configuration.
	Revocation time.Duration `yaml:"revocation" validate:"required,min=1s"`
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration `yaml:"stop_grace" validate:"required,min=2s"`
	// RetryRatio and RetryBurst limit the retries of all routers together within RetryWindow to
	// RetryBurst plus RetryRatio per request.
	RetryRatio  float64       `yaml:"retry_ratio" validate:"min=0,max=1"`
	RetryBurst  float64       `yaml:"retry_burst" validate:"min=0"`
	RetryWindow time.Duration `yaml:"retry_window" validate:"required,min=100ms"`
	// MemoryLimit is the maximum memory of the process in MiB.
	MemoryLimit int `yaml:"memory_limit" validate:"required,min=16"`
	// DescriptorLimit is the number of descriptors that the process may open; 0 means the system's limit.
	DescriptorLimit int `yaml:"descriptor_limit" validate:"omitempty,min=64"`
	// Metrics is the address for metrics over HTTP, empty for none.
	Metrics string `yaml:"metrics" validate:"omitempty,tcp_addr"`
	// Log configures the log.
	Log Log `yaml:"log"`
}

// SetDefaults sets the fields that the file omits to their defaults.
func (r *DisklessRouter) SetDefaults() { r.Log.setDefaults() }

// ServingLease is the time for which the router may serve after a coordinator confirmed its
// configuration.
func (r *DisklessRouter) ServingLease() time.Duration { return r.Revocation - r.Revocation/7 }

// DrainLimit is the maximum duration of a graceful stop.
func (r *DisklessRouter) DrainLimit() time.Duration { return r.StopGrace - r.StopGrace/10 }

// StopLimit is the maximum duration of a stop, cleanup included. The rest of the grace is for the last log lines.
func (r *DisklessRouter) StopLimit() time.Duration { return r.StopGrace - r.StopGrace/20 }

// Coordinators returns the peer addresses of the seeds.
func (r *DisklessRouter) Coordinators() []string { return peerAddresses(r.Seeds, r.PeerPort) }

// Coordinators returns the peer addresses of the seeds.
func (c *Coordinator) Coordinators() []string { return peerAddresses(c.Seeds, c.PeerPort) }

// peerAddresses returns the addresses with their ports replaced, unless port is 0.
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
