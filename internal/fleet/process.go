// Package fleet starts a whole deployment as separate processes on loopback
// addresses, drives it and reads what it left.
package fleet

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is one started program. Its output goes to a file of its own.
type process struct {
	name   string
	binary string
	args   []string
	folder string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// start runs the program. The output of an earlier run is kept.
func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	command := exec.Command(p.binary, p.args...)
	command.Stdout, command.Stderr = log, log
	// A process that outlives its launcher would hold its addresses.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.exited = command, exited
	return nil
}

// signal sends a signal to the running program.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

// wait waits for the program's end.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the program without notice.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(killLimit)
}

// terminate asks the program to stop, and kills it when it does not.
func (p *process) terminate(limit time.Duration) bool {
	p.signal(syscall.SIGTERM)
	if p.wait(limit) {
		return true
	}
	p.kill()
	return false
}

const (
	killLimit = 5 * time.Second
	askPause  = 50 * time.Millisecond
)

// awaitHTTP asks a URL until it answers 200 or the context ends.
func awaitHTTP(ctx context.Context, url string) error {
	client := &http.Client{Timeout: time.Second}
	for {
		response, err := client.Get(url)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for %s", url)
		case <-time.After(askPause):
		}
	}
}
