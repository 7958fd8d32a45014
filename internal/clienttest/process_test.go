package clienttest

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/loopback"
	"quinceridge.example/quinceridge/internal/process"
)

const (
	// routerMemory and nodeMemory are the memory of a machine in MiB.
	routerMemory = 88
	nodeMemory   = 280
	// descriptorLimit is the number of descriptors that a process may open, and machineDescriptors that of a
	// router's machine. An eighth of them must stay free for its own connections.
	descriptorLimit    = 800
	machineDescriptors = 4100
	freeDescriptors    = 8
	sampleInterval     = 20 * time.Millisecond
)

// binary is the path of the built product.
var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "clienttest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(folder, "quinceridge")
	build := exec.Command("go", "build", "-o", binary, "quinceridge.example/quinceridge/cmd/quinceridge")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	code := 1
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
	} else {
		code = m.Run()
	}
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// program is a running process of the product with the memory of its machine.
type program struct {
	*process.Process
	t      *testing.T
	memory int
	// maxDescriptors bounds the open descriptors.
	maxDescriptors int
	// descriptors is the peak number of open descriptors since the last reset.
	descriptors atomic.Int64
}

// startProgram starts the product with a command and the text of its settings.
func startProgram(t *testing.T, name, command, settings string, memory, descriptors int) *program {
	t.Helper()
	folder := t.TempDir()
	file := filepath.Join(folder, name+".yaml")
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	script := fmt.Sprintf("ulimit -n %d; exec %q %s --config %q", descriptors, binary, command, file)
	p := &program{t: t, memory: memory, maxDescriptors: descriptors - descriptors/freeDescriptors, Process: &process.Process{Name: name, Binary: "sh", Args: []string{"-c", script}, Folder: folder}}
	assert.NilError(t, p.Start())
	done := make(chan struct{})
	go p.sample(done)
	t.Cleanup(func() {
		close(done)
		if t.Failed() {
			p.logTail(filepath.Join(folder, name+".log"))
		}
		p.Kill()
	})
	return p
}

// logTail copies the end of the program's output to the test's.
func (p *program) logTail(path string) {
	const tail = 2000
	text, err := os.ReadFile(path)
	if err != nil {
		p.t.Log(err)
		return
	}
	p.t.Logf("%s: %d lines, the last ones:\n%s", p.Name, bytes.Count(text, []byte("\n")), text[max(len(text)-tail, 0):])
}

func (p *program) sample(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(sampleInterval):
			p.descriptors.Store(max(p.descriptors.Load(), int64(p.openDescriptors())))
		}
	}
}

// openDescriptors returns the number of open descriptors, 0 if the process has ended.
func (p *program) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.ID()))
	if err != nil {
		return 0
	}
	return len(entries)
}

// peakMemory returns the largest resident size in MiB since the last resetPeaks.
func (p *program) peakMemory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.ID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kib, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kib >> 10
		}
	}
	return 0
}

// checkBounds fails the test unless the process lives within the memory of its machine and leaves
// descriptors for its own connections.
func (p *program) checkBounds() {
	p.t.Helper()
	memory, descriptors := p.peakMemory(), int(p.descriptors.Load())
	p.t.Logf("%s: peak %d of %d MiB, %d of %d descriptors", p.Name, memory, p.memory, descriptors, p.maxDescriptors)
	assert.Check(p.t, len(p.Failures()) == 0, "%s ended: %v", p.Name, p.Failures())
	assert.Check(p.t, memory > 0 && memory <= p.memory, "%s: %d of %d MiB", p.Name, memory, p.memory)
	assert.Check(p.t, descriptors <= p.maxDescriptors, "%s: %d of %d descriptors", p.Name, descriptors, p.maxDescriptors)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	assert.NilError(t, err)
	return address
}
