package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/deployment"
	"quinceridge.example/quinceridge/internal/enginemodel"
	"quinceridge.example/quinceridge/internal/prefix"
	"quinceridge.example/quinceridge/internal/workload"
)

// Ports by role. Each process has its own IP address.
const (
	portPeer   = 7000
	portStatus = 7001
	portStore  = 7100
	portCaller = 8080
	portEngine = 9000
	portWorker = 9100
)

// Third octets of the addresses by role.
const (
	subnetControl = iota + 1
	subnetStores
	subnetRouters
	subnetEngines
	subnetWorkers
)

// layout assigns addresses, names and files to the processes of a fleet.
type layout struct {
	network      int // second octet of all addresses
	folder       string
	deployment   deployment.Deployment
	controlCount int
}

func (l layout) address(subnet, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", l.network, subnet, host, port)
}

func (l layout) control(i int) string          { return l.address(subnetControl, i+1, portPeer) }
func (l layout) status(i int) string           { return l.address(subnetControl, i+1, portStatus) }
func (l layout) platform() string              { return l.address(subnetStores, 1, portStore) }
func (l layout) weightStore() string           { return l.address(subnetStores, 2, portStore) }
func (l layout) kvStore() string               { return l.address(subnetStores, 3, portStore) }
func (l layout) router(i int) string           { return l.address(subnetRouters, i+1, portCaller) }
func (l layout) peer(i int) string             { return l.address(subnetRouters, i+1, portPeer) }
func (l layout) engine(i int) string           { return l.address(subnetEngines, i+1, portEngine) }
func (l layout) worker(i int) string           { return l.address(subnetWorkers, i+1, portWorker) }
func (l layout) dataFolder(name string) string { return filepath.Join(l.folder, "data", name) }

func (l layout) controlAddresses() []string {
	var out []string
	for i := range l.controlCount {
		out = append(out, l.control(i))
	}
	return out
}

func (l layout) routerAddresses() []string {
	var out []string
	for i := range l.deployment.Routers {
		out = append(out, l.router(i))
	}
	return out
}

// Names of the processes.
func controlName(i int) string { return fmt.Sprintf("control-%d", i+1) }
func routerName(i int) string  { return fmt.Sprintf("router-%d", i+1) }
func engineName(i int) string  { return fmt.Sprintf("engine-%02d", i+1) }
func workerName(i int) string  { return fmt.Sprintf("worker-%d", i+1) }

// operatorName is the name of the operator that signs the fleet's bundles.
const operatorName = "rehearsal"

// fileMode is the mode of settings and keys.
const fileMode = 0o600

// Settings files of the processes. They contain only the values that differ from the defaults.
type controlSettings struct {
	ID            uint64            `yaml:"id"`
	Region        string            `yaml:"region"`
	Zone          string            `yaml:"zone"`
	Listen        string            `yaml:"listen"`
	Status        string            `yaml:"status"`
	DataDirectory string            `yaml:"data_directory"`
	Peers         []peerSettings    `yaml:"peers"`
	Platform      string            `yaml:"platform"`
	Operators     map[string]string `yaml:"operators"`
	SnapshotEvery uint64            `yaml:"snapshot_every"`
	Join          bool              `yaml:"join"`
}

type peerSettings struct {
	ID      uint64 `yaml:"id"`
	Address string `yaml:"address"`
}

type routerSettings struct {
	Name          string   `yaml:"name"`
	Region        string   `yaml:"region"`
	Zone          string   `yaml:"zone"`
	Listen        string   `yaml:"listen"`
	PeerListen    string   `yaml:"peer_listen"`
	DataDirectory string   `yaml:"data_directory"`
	Control       []string `yaml:"control"`
}

func writeYAML(path string, value any) error {
	text, err := yaml.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(path, text, fileMode), "write settings")
}

func (l layout) writeControl(i int, publicKey string) (path string, err error) {
	settings := controlSettings{ID: uint64(i + 1), Region: l.deployment.Region, Zone: l.deployment.Zone(i), Listen: l.control(i),
		Status: l.status(i), DataDirectory: l.dataFolder(controlName(i)), Platform: l.platform(),
		Operators: map[string]string{operatorName: publicKey}, SnapshotEvery: 200}
	for n := range l.controlCount {
		settings.Peers = append(settings.Peers, peerSettings{ID: uint64(n + 1), Address: l.control(n)})
	}
	path = filepath.Join(l.folder, controlName(i)+".yaml")
	return path, writeYAML(path, settings)
}

func (l layout) writeRouter(i int) (path string, err error) {
	settings := routerSettings{Name: routerName(i), Region: l.deployment.Region, Zone: l.deployment.Zone(i), Listen: l.router(i),
		PeerListen: l.peer(i), DataDirectory: l.dataFolder(routerName(i))}
	// Rotate the list so that routers start with different control nodes.
	for n := range l.controlCount {
		settings.Control = append(settings.Control, l.control((i+n)%l.controlCount))
	}
	path = filepath.Join(l.folder, routerName(i)+".yaml")
	return path, writeYAML(path, settings)
}

// firstBundle returns the bundle that a fleet starts with. The operator with the given public key
// may sign the bundles that follow.
func (l layout) firstBundle(publicKey string, plan workload.Plan, start time.Time) *bundle.Bundle {
	d := l.deployment
	b := &bundle.Bundle{Version: 1, Approvals: 1, Operators: map[string]string{operatorName: publicKey},
		Models: map[string]bundle.Model{d.Model: {WeightsVersion: 1, PrefillTokensPerSecond: enginemodel.DefaultConfig().PrefillTokensPerSecond(),
			MaxOutputTokens: 1024, Continuation: true}},
		Classes: map[string]bundle.Class{}, Tenants: map[string]bundle.Tenant{}, Routes: map[string]bundle.Route{},
		SharedPrompts: map[string]bundle.SharedPrompt{}, Events: map[string]bundle.Event{}}
	for _, class := range d.Classes {
		b.Classes[class.Name] = bundle.Class{Priority: class.Priority, FirstToken: class.FirstToken}
	}
	var names []string
	for _, tenant := range d.Tenants {
		names = append(names, tenant.Name)
		b.Tenants[tenant.Name] = bundle.Tenant{KeySHA256: sha256Hex(deployment.Key(tenant.Name)), Weight: 1, Class: d.Classes[0].Name}
	}
	for _, kind := range d.Application {
		b.Routes[kind.Name] = bundle.Route{Path: kind.Route, Retryable: kind.Retryable, Deadline: 5 * time.Second}
	}
	for _, kind := range d.Generation {
		for document := range kind.Documents {
			name := workload.DocumentName(kind.Name, document)
			text := workload.Passage(name, kind.DocumentTokens)
			b.SharedPrompts[name] = bundle.SharedPrompt{SHA256: sha256Hex(text), Bytes: kind.DocumentTokens * prefix.BytesPerToken, Tenants: names}
		}
	}
	if plan.SurgeEnd > plan.SurgeStart {
		b.Events["surge"] = bundle.Event{Start: start.Add(plan.SurgeStart).UTC().Truncate(time.Second),
			Duration: plan.SurgeEnd - plan.SurgeStart, Tenants: names, Weight: 2}
	}
	return b
}

func sha256Hex(text string) string {
	digest := sha256.Sum256([]byte(text))
	return hex.EncodeToString(digest[:])
}
