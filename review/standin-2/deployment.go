package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Bounds of the deployment, those of the page for magbasket-prod.
const (
	configApply = 2 * time.Second
	contact     = 3 * time.Second
	heartbeat   = 1200 * time.Millisecond
)

// controls is the number of control processes. All of them are seeds.
const controls = 3

// process is one program of the project.
type process struct {
	name string
	cmd  *exec.Cmd
}

// deployment is the project's own processes, with settings as deploy/control.yaml and
// deploy/router.yaml give them.
type deployment struct {
	record *record
	folder string
	// prefix is the first three parts of all IP addresses.
	prefix    string
	ports     ports
	processes []*process
	// routers are the client addresses of the routers, by number.
	routers []string
	// proxies stand before the peer ports of the controls; empty unless they are asked for.
	proxies []*proxy
}

type ports struct{ control, peer, relay, front, ready, metrics int }

// newDeployment finds free ports on loopback addresses of its own.
func newDeployment(rec *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: rec, folder: folder}
	for range 50 {
		d.prefix = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
		base := 20000 + rand.IntN(10000)
		d.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}
		if d.free() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (d *deployment) free() bool {
	for last := range 40 {
		for port := d.ports.control; port <= d.ports.metrics; port++ {
			l, err := net.Listen("tcp", d.address(last, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) address(last, port int) string {
	return fmt.Sprintf("%s%d:%d", d.prefix, last, port)
}

// control returns the address of a control process for operators and workers.
func (d *deployment) control(i int) string { return d.address(1+i, d.ports.control) }

// source is the local address of a router's connections to workers.
func (d *deployment) source(router int) string { return fmt.Sprintf("%s%d", d.prefix, 30+router) }

func (d *deployment) seeds() string {
	var out []string
	for i := range controls {
		out = append(out, fmt.Sprintf("%q", d.control(i)))
	}
	return "[" + strings.Join(out, ", ") + "]"
}

const logSettings = "log:\n  format: json\n  level: info\n"

// startControls starts the control processes. With proxies, all others reach their peer ports through a
// proxy of the script.
func (d *deployment) startControls(withProxies bool) error {
	for i := range controls {
		peer := d.address(1+i, d.ports.peer)
		text := fmt.Sprintf("name: core-%d\nzone: hall\nlisten: %q\n", i+1, d.control(i))
		if withProxies {
			behind := d.address(11+i, d.ports.peer)
			p, err := newProxy(peer, behind)
			if err != nil {
				return err
			}
			d.proxies = append(d.proxies, p)
			text += fmt.Sprintf("peer_listen: %q\npeer_address: %q\n", behind, peer)
		} else {
			text += fmt.Sprintf("peer_listen: %q\n", peer)
		}
		text += fmt.Sprintf("seeds: %s\npeer_port: %d\nbootstrap: true\ndata_directory: %q\nbackend_heartbeat: 1200ms\nweights_deadline: 8000ms\norder_lease: 3000ms\nmetrics: %q\n",
			d.seeds(), d.ports.peer, filepath.Join(d.folder, fmt.Sprintf("data-%d", i+1)), d.address(1+i, d.ports.metrics))
		if err := d.start(fmt.Sprintf("core-%d", i+1), "target/quinceridge-control", text+logSettings); err != nil {
			return err
		}
	}
	return nil
}

// startRouters starts the routers.
func (d *deployment) startRouters(count int) error {
	for i := range count {
		last := 20 + i
		text := fmt.Sprintf("name: front-%d\nzone: hall\nlisten: %q\nreadiness: %q\nseeds: %s\npeer_port: %d\nrelay_listen: %q\nsource: %q\nrevocation: 5000ms\nstop_grace: 8s\n",
			i+1, d.address(last, d.ports.front), d.address(last, d.ports.ready), d.seeds(), d.ports.peer, d.address(last, d.ports.relay), d.source(i))
		text += fmt.Sprintf("retry_ratio: 0.2\nretry_burst: 54\nretry_window: 10s\nmemory_limit: 284\nmetrics: %q\n", d.address(last, d.ports.metrics))
		if err := d.start(fmt.Sprintf("front-%d", i+1), "target/quinceridge-router", text+logSettings); err != nil {
			return err
		}
		d.routers = append(d.routers, d.address(last, d.ports.front))
	}
	return nil
}

func (d *deployment) start(name, program, settings string) error {
	path := filepath.Join(d.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.folder, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "QUINCERIDGE_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	// The processes end with this one, also if it is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.processes = append(d.processes, &process{name, cmd})
	return nil
}

// awaitReady waits until all routers call themselves ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i := range d.routers {
			if status, _, err := call("GET", "http://"+d.address(20+i, d.ports.ready)+"/v1/readyz", nil, time.Second); err == nil && status == 200 {
				ready++
			}
		}
		if ready == len(d.routers) {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d routers are ready", ready, len(d.routers))
		}
	}
}

// stop ends all processes. The logs stay in the folder of KEEP_LOGS, if that is set.
func (d *deployment) stop() {
	for _, p := range d.processes {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range d.processes {
		_ = p.cmd.Wait()
	}
	for _, p := range d.proxies {
		p.close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(d.folder))
	}
	_ = os.RemoveAll(d.folder)
}
