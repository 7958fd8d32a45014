// Package process runs programs for the rehearsal kit.
package process

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

// Process is one program that is started and ended again. Its output goes to
// NAME.log in Folder.
type Process struct {
	Name   string
	Binary string
	Args   []string
	Folder string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// Start runs the program. The output of an earlier run is kept.
func (p *Process) Start() error {
	log, err := os.OpenFile(filepath.Join(p.Folder, p.Name+".log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	command := exec.Command(p.Binary, p.Args...)
	command.Stdout, command.Stderr = log, log
	// A process that outlives its launcher would hold its addresses.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
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

// ID returns the number of the running program, 0 before the first start.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Signal sends a signal to the running program.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

// Wait waits for the program's end.
func (p *Process) Wait(limit time.Duration) bool {
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

// Kill ends the program without notice.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(killLimit)
}

// Terminate asks the program to stop, and kills it when it does not.
func (p *Process) Terminate(limit time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	if p.Wait(limit) {
		return true
	}
	p.Kill()
	return false
}

const (
	killLimit = 5 * time.Second
	askPause  = 50 * time.Millisecond
)

// AwaitHTTP asks a URL until it answers 200 or the context ends.
func AwaitHTTP(ctx context.Context, url string) error {
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
