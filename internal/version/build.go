package version

import (
	"fmt"
	"io"
	"runtime/debug"

	"quinceridge.example/quinceridge/internal/level"
)

// Build names the sources that a program was built from: their revision, with a + if they
// were changed, or nothing if the build did not note it.
func Build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	revision, changed := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(12, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return revision + changed
}

// WriteTo writes what a process runs as a figure, so that operators see who runs what while
// machines are replaced.
func WriteTo(w io.Writer) {
	fmt.Fprintf(w, "quinceridge_build_info{version=%q,build=%q,level=\"%d\"} 1\n", Current, Build(), level.Current)
}
