package process

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An end that was asked for is no failure, and one that was not is, as is one with an exit status.
func TestFailuresAreEndsThatNobodyAskedFor(t *testing.T) {
	for script, c := range map[string]struct {
		end      func(p *Process)
		failures []string
	}{
		"exit 0":        {func(p *Process) { p.Wait(killTimeout) }, []string{"exit status 0"}},
		"exit 2":        {func(p *Process) { p.Wait(killTimeout) }, []string{"exit status 2"}},
		"exec sleep 60": {func(p *Process) { p.Kill() }, nil},
		"exec sleep 61": {func(p *Process) { p.Terminate(killTimeout) }, nil},
		"trap 'exit 2' TERM; sleep 0.5; sleep 60": {func(p *Process) { time.Sleep(100 * time.Millisecond); p.Terminate(killTimeout) }, []string{"exit status 2"}},
		"kill -9 $$":                   {func(p *Process) { p.Wait(killTimeout) }, []string{"signal: killed"}},
		"kill -STOP $$; exec sleep 62": {func(p *Process) { p.Signal(syscall.SIGCONT); p.Kill() }, nil},
	} {
		t.Run(script, func(t *testing.T) {
			p := &Process{Name: "p", Binary: "sh", Args: []string{"-c", script}, Folder: t.TempDir()}
			assert.NilError(t, p.Start())
			c.end(p)
			assert.Assert(t, p.Wait(killTimeout))
			assert.DeepEqual(t, p.Failures(), c.failures)
		})
	}
}
