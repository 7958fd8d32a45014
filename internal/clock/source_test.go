package clock

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// clockReads matches calls that read a clock which stops while the machine is suspended.
var clockReads = regexp.MustCompile(`\btime\.(Now|Since|Until)\(`)

// exemptUses matches uses that need no clock across suspensions: deadlines of sockets, which the
// runtime enforces, and wall-clock times.
var exemptUses = regexp.MustCompile(`Set(Read|Write)?Deadline\(time\.Now\(\)\.Add\(|time\.Now\(\)\.UnixMilli\(\)`)

// exemptFiles maps files that only measure times for output to what they measure.
var exemptFiles = map[string]string{
	"internal/trace/trace.go":         "times in the trace of a request",
	"internal/gateway/sink.go":        "times in the metrics",
	"internal/gateway/completions.go": "times in the metrics",
	"platform/control.go":             "how long a call took, for the log",
	"cmd/quinceridge/bundle.go":       "how long an operator's command has waited",
}

// testToolDirs lists the directories of the test tools, whose machines are not suspended.
var testToolDirs = []string{"internal/soak", "internal/standin", "internal/fleet", "internal/experiment", "internal/simulation", "cmd/rehearse"}

// Guards against leases, permits, deadlines and windows of limits that seem valid after a
// suspension because they were computed from a clock that stopped during it.
func TestNoUseOfClockThatStopsDuringSuspension(t *testing.T) {
	root := filepath.Join("..", "..")
	for _, folder := range []string{"internal", "platform", "cmd"} {
		assert.NilError(t, filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			name, err := filepath.Rel(root, path)
			if err != nil || exemptFiles[name] != "" || inTestTools(name) {
				return err
			}
			text, err := os.ReadFile(path)
			for i, line := range strings.Split(string(text), "\n") {
				if clockReads.MatchString(line) && !exemptUses.MatchString(line) {
					t.Errorf("%s:%d: %s", name, i+1, strings.TrimSpace(line))
				}
			}
			return err
		}))
	}
}

func inTestTools(name string) bool {
	for _, folder := range testToolDirs {
		if strings.HasPrefix(name, folder+"/") {
			return true
		}
	}
	return false
}
