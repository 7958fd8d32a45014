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

// Ports of the roles. Each process has an address of its own.
const (
	portPeer   = 7000
	portStatus = 7001
	portStore  = 7100
	portCaller = 8080
	portEngine = 9000
	portWorker = 9100
)

// Third numbers of the addresses of the roles.
const (
	rowControl = iota + 1
	rowStores
	rowRouters
	rowEngines
	rowWorkers
)

// layout says where each process of a fleet stands.
type layout struct {
	network    int // second number of all addresses
	folder     string
	deployment deployment.Deployment
	controls   int
}

func (l layout) address(row, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", l.network, row, number, port)
}

func (l layout) control(i int) string    { return l.address(rowControl, i+1, portPeer) }
func (l layout) status(i int) string     { return l.address(rowControl, i+1, portStatus) }
func (l layout) platform() string        { return l.address(rowStores, 1, portStore) }
func (l layout) weights() string         { return l.address(rowStores, 2, portStore) }
func (l layout) kv() string              { return l.address(rowStores, 3, portStore) }
func (l layout) router(i int) string     { return l.address(rowRouters, i+1, portCaller) }
func (l layout) peer(i int) string       { return l.address(rowRouters, i+1, portPeer) }
func (l layout) engine(i int) string     { return l.address(rowEngines, i+1, portEngine) }
func (l layout) worker(i int) string     { return l.address(rowWorkers, i+1, portWorker) }
func (l layout) data(name string) string { return filepath.Join(l.folder, "data", name) }

func (l layout) controlAddresses() []string {
	var out []string
	for i := range l.controls {
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

// operatorName signs the fleet's bundles.
const operatorName = "rehearsal"

// fileMode is for settings and results.
const fileMode = 0o600

// The settings files that the launcher writes. They name only what differs
// from the defaults.
type controlFile struct {
	ID            uint64            `yaml:"id"`
	Region        string            `yaml:"region"`
	Zone          string            `yaml:"zone"`
	Listen        string            `yaml:"listen"`
	Status        string            `yaml:"status"`
	DataDirectory string            `yaml:"data_directory"`
	Peers         []peerFile        `yaml:"peers"`
	Platform      string            `yaml:"platform"`
	Operators     map[string]string `yaml:"operators"`
	SnapshotEvery uint64            `yaml:"snapshot_every"`
	Join          bool              `yaml:"join"`
}

type peerFile struct {
	ID      uint64 `yaml:"id"`
	Address string `yaml:"address"`
}

type routerFile struct {
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

func (l layout) writeControl(i int, public string) (path string, err error) {
	file := controlFile{ID: uint64(i + 1), Region: l.deployment.Region, Zone: l.deployment.Zone(i), Listen: l.control(i),
		Status: l.status(i), DataDirectory: l.data(controlName(i)), Platform: l.platform(),
		Operators: map[string]string{operatorName: public}, SnapshotEvery: 200}
	for n := range l.controls {
		file.Peers = append(file.Peers, peerFile{ID: uint64(n + 1), Address: l.control(n)})
	}
	path = filepath.Join(l.folder, controlName(i)+".yaml")
	return path, writeYAML(path, file)
}

func (l layout) writeRouter(i int) (path string, err error) {
	file := routerFile{Name: routerName(i), Region: l.deployment.Region, Zone: l.deployment.Zone(i), Listen: l.router(i),
		PeerListen: l.peer(i), DataDirectory: l.data(routerName(i))}
	// Each router asks another control node first.
	for n := range l.controls {
		file.Control = append(file.Control, l.control((i+n)%l.controls))
	}
	path = filepath.Join(l.folder, routerName(i)+".yaml")
	return path, writeYAML(path, file)
}

// firstBundle is the bundle that a fleet starts with. Another public key may
// sign the next one.
func (l layout) firstBundle(public string, surge workload.Plan, start time.Time) *bundle.Bundle {
	d := l.deployment
	b := &bundle.Bundle{Version: 1, Approvals: 1, Operators: map[string]string{operatorName: public},
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
		b.Tenants[tenant.Name] = bundle.Tenant{KeySHA256: sum(deployment.Key(tenant.Name)), Weight: 1, Class: d.Classes[0].Name}
	}
	for _, kind := range d.Application {
		b.Routes[kind.Name] = bundle.Route{Path: kind.Route, Retryable: kind.Retryable, Deadline: 5 * time.Second}
	}
	for _, kind := range d.Generation {
		for document := range kind.Documents {
			name := workload.DocumentName(kind.Name, document)
			text := workload.Passage(name, kind.DocumentTokens)
			b.SharedPrompts[name] = bundle.SharedPrompt{SHA256: sum(text), Bytes: kind.DocumentTokens * prefix.BytesPerToken, Tenants: names}
		}
	}
	if surge.SurgeEnd > surge.SurgeStart {
		b.Events["surge"] = bundle.Event{Start: start.Add(surge.SurgeStart).UTC().Truncate(time.Second),
			Duration: surge.SurgeEnd - surge.SurgeStart, Tenants: names, Weight: 2}
	}
	return b
}

func sum(text string) string {
	digest := sha256.Sum256([]byte(text))
	return hex.EncodeToString(digest[:])
}
