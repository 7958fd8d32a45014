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

// reads are calls that read a clock which stands still while a machine is suspended.
var reads = regexp.MustCompile(`\btime\.(Now|Since|Until)\(`)

// harmless are uses by which nothing is decided: deadlines of sockets, which the
// runtime keeps, and the time of day for people.
var harmless = regexp.MustCompile(`Set(Read|Write)?Deadline\(time\.Now\(\)\.Add\(|time\.Now\(\)\.UnixMilli\(\)`)

// measuring are files that read how long something took, to print it.
var measuring = map[string]string{
	"internal/trace/trace.go":         "times in the story of a request",
	"internal/gateway/sink.go":        "times of the figures",
	"internal/gateway/completions.go": "times of the figures",
	"platform/control.go":             "how long a call took, for the log",
	"cmd/quinceridge/bundle.go":       "how long an operator's command has waited",
}

// kit are the folders of the rehearsal kit, which is not suspended.
var kit = []string{"internal/soak", "internal/standin", "internal/fleet", "internal/experiment", "internal/simulation", "cmd/rehearse"}

// A machine that had been suspended for seconds took leases, rights to serve, deadlines
// and windows of limits for as young as before: all of them were read from the steady
// clock, which stands still then.
func TestDecisionsReadTheClockThatCountsSuspension(t *testing.T) {
	root := filepath.Join("..", "..")
	for _, folder := range []string{"internal", "platform", "cmd"} {
		assert.NilError(t, filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			name, err := filepath.Rel(root, path)
			if err != nil || measuring[name] != "" || inKit(name) {
				return err
			}
			text, err := os.ReadFile(path)
			for i, line := range strings.Split(string(text), "\n") {
				if reads.MatchString(line) && !harmless.MatchString(line) {
					t.Errorf("%s:%d: %s", name, i+1, strings.TrimSpace(line))
				}
			}
			return err
		}))
	}
}

func inKit(name string) bool {
	for _, folder := range kit {
		if strings.HasPrefix(name, folder+"/") {
			return true
		}
	}
	return false
}
