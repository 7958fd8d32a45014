package soak

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a check of software versions that passes over other wrong answers.
func TestStreamsOfSeveralVersionsAreBreachesOfTheirOwnCheck(t *testing.T) {
	stream := func(versions ...string) string {
		body := ""
		for i, version := range versions {
			body += eventOf("c", i+1, version)
		}
		return body
	}
	versions := make([]string, streamEvents)
	for i := range versions {
		versions[i] = "v1"
	}
	whole := stream(versions...)
	versions[3] = "v2"
	mixed := stream(versions...)
	for name, test := range map[string]struct {
		body, seal    string
		broken, known int
	}{
		"whole":        {whole, sealOf("c"), 0, 0},
		"mixed":        {mixed, sealOf("c"), 0, 1},
		"cut":          {mixed[:len(mixed)-20], sealOf("c"), 1, 0},
		"event missed": {mixed[len(eventOf("c", 1, "v1")):], sealOf("c"), 1, 0},
		"other seal":   {mixed, sealOf("d"), 1, 0},
	} {
		s, all := newChecked(checkStreamVersions), newChecked()
		c := &call{id: "c", kind: "stream", body: test.body, seal: test.seal}
		s.checkResponse(c)
		all.checkResponse(c)
		assert.Equal(t, len(s.report.Broken), test.broken, name)
		assert.Equal(t, len(s.report.Known), test.known, name)
		assert.Equal(t, len(all.report.Broken), test.broken+test.known, name)
	}
}
