// Package process runs the programs of rehearsals.
package process

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/httpwire"
)

// Process is a program that can be started and stopped repeatedly. Its output goes to the file
// NAME.log in Folder.
type Process struct {
	Name   string
	Binary string
	Args   []string
	Folder string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// ending is set once the running program was told to end.
	ending   bool
	failures []string
}

// Start starts the program. The output of earlier runs is kept.
func (p *Process) Start() error {
	log, err := os.OpenFile(filepath.Join(p.Folder, p.Name+".log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	command := exec.Command(p.Binary, p.Args...)
	command.Stdout, command.Stderr = log, log
	// The process must not outlive its parent, since it would keep its addresses in use.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.exited, p.ending = command, exited, false
	go func() {
		// The state below holds how it ended.
		_ = command.Wait()
		p.recordExit(command)
		close(exited)
	}()
	return nil
}

func (p *Process) recordExit(command *exec.Cmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ending || command.ProcessState.ExitCode() > 0 {
		p.failures = append(p.failures, command.ProcessState.String())
	}
}

// Failures describes the ends of the program that nobody asked for, and those with an exit status other
// than 0.
func (p *Process) Failures() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.failures)
}

// ID returns the process ID, 0 before the first start.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Signal sends a signal to the program.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		p.ending = p.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
		_ = p.command.Process.Signal(s)
	}
}

// Wait waits until the program exits, and returns false if it does not within limit.
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

// Kill kills the program and waits until it exits.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(killTimeout)
}

// Terminate sends SIGTERM, and kills the program if it does not exit within limit. It returns
// false in that case.
func (p *Process) Terminate(limit time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	if p.Wait(limit) {
		return true
	}
	p.Kill()
	return false
}

const (
	killTimeout  = 5 * time.Second
	pollInterval = 50 * time.Millisecond
)

// AwaitHTTP polls a URL until it responds with status 200 or the context ends.
func AwaitHTTP(ctx context.Context, url string) error {
	client := &http.Client{Timeout: time.Second, Transport: httpwire.NewTransport(nil)}
	defer client.CloseIdleConnections()
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
		case <-time.After(pollInterval):
		}
	}
}
