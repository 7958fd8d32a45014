package forward

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"quinceridge.example/quinceridge/internal/state"
)

const (
	// maxCountedVersions bounds the software versions with metrics of their own.
	maxCountedVersions = 16
	// otherVersions is the label of the streams at all further versions.
	otherVersions = "other"
)

// streamCounts counts the streams whose first event was sent, by software version. It is safe for
// concurrent use.
type streamCounts struct {
	mu     sync.Mutex
	counts map[state.SoftwareVersion]uint64
}

func (c *streamCounts) add(version state.SoftwareVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[state.SoftwareVersion]uint64{}
	}
	if _, counted := c.counts[version]; !counted && len(c.counts) >= maxCountedVersions {
		version = otherVersions
	}
	c.counts[version]++
}

func (c *streamCounts) writeTo(w io.Writer, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, version := range slices.Sorted(maps.Keys(c.counts)) {
		_, _ = fmt.Fprintf(w, "%s{software=%q} %d\n", name, string(version), c.counts[version])
	}
}
