package version

import (
	"fmt"
	"io"
	"runtime/debug"

	"quinceridge.example/quinceridge/internal/level"
)

// Build returns the VCS revision that the program was built from, followed by + if the sources
// were modified. It is empty if unknown.
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

// WriteTo writes the build info metric, which shows the versions in use during an upgrade.
func WriteTo(w io.Writer) {
	fmt.Fprintf(w, "quinceridge_build_info{version=%q,build=%q,level=\"%d\"} 1\n", Current, Build(), level.Current)
}
