package config_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/config"
	"quinceridge.example/quinceridge/internal/finding"
	"quinceridge.example/quinceridge/internal/settings"
)

const validControl = `id: 1
region: r
zone: z
listen: 127.0.0.1:7000
status: 127.0.0.1:7001
data_directory: data
platform: 127.0.0.1:7100
peers:
  - {id: 1, address: "127.0.0.1:7000"}
`

func TestDecodeReportsAllFindingsWithPositions(t *testing.T) {
	text := strings.Replace(validControl, "zone: z", "zone: z\nzune: x", 1)
	text = strings.Replace(text, "127.0.0.1:7001", "nowhere", 1)
	text = strings.Replace(text, "id: 1\nregion", "id: 7\nregion", 1)
	var s settings.Control
	err := config.Decode("control.yaml", []byte(text), &s)
	var findings finding.List
	assert.Assert(t, errors.As(err, &findings), "%v", err)
	assert.Equal(t, len(findings), 3, "%v", err)
	assert.ErrorContains(t, err, "control.yaml:1:1: $.id: is not among the peers")
	assert.ErrorContains(t, err, "control.yaml:4:1: $.zune: unknown field")
	assert.ErrorContains(t, err, "control.yaml:6:1: $.status: must be an IP address with a port")
}

func TestSetDefaultsFillsMissingFields(t *testing.T) {
	var s settings.Control
	assert.NilError(t, config.Decode("control.yaml", []byte(validControl), &s))
	s.SetDefaults()
	assert.Equal(t, s.RouterLease.String(), "3s")
	assert.Equal(t, s.Tick.String(), "50ms")
}

func TestDecodeReportsPositionOfSyntaxError(t *testing.T) {
	var s settings.Control
	err := config.Decode("control.yaml", []byte("id: 1\nzone: [\n"), &s)
	assert.ErrorContains(t, err, "control.yaml:2:")
	assert.ErrorContains(t, config.Decode("x.yaml", nil, &s), "x.yaml:1:1")
	assert.ErrorContains(t, config.Decode("x.yaml", []byte("id: abc\n"), &s), "x.yaml:1:")
}

// A list in place of a mapping used to cause a panic in the search for unknown fields.
func TestDecodeRejectsListInsteadOfMapping(t *testing.T) {
	for _, text := range []string{"-", "- a", "\n- id: 1", "log:\n- level"} {
		var control settings.Control
		err := config.Decode("f", []byte(text), &control)
		assert.ErrorContains(t, err, "expected a mapping, not a list", "%q", text)
	}
	var control settings.Control
	assert.ErrorContains(t, config.Decode("f", []byte("log:\n- level"), &control), "f:2:1")
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(validControl))
	f.Add([]byte("id: [1"))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("? {x: y}\n: z"))
	f.Add([]byte("-"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var control settings.Control
		_ = config.Decode("f", data, &control)
		var router settings.Router
		_ = config.Decode("f", data, &router)
		var coordinator settings.Coordinator
		_ = config.Decode("f", data, &coordinator)
		var edge settings.DisklessRouter
		_ = config.Decode("f", data, &edge)
	})
}

func FuzzBundle(f *testing.F) {
	f.Add([]byte("version: 1\nmodels:\n  m: {weights_version: 1}\n"))
	f.Add([]byte("version: -1"))
	f.Add([]byte("tenants: {a: {class: none}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := &bundle.Bundle{}
		if config.Decode("f", data, b) != nil {
			return
		}
		canonical, err := b.Canonical()
		assert.NilError(t, err)
		again, err := bundle.Parse(canonical)
		assert.NilError(t, err)
		text, err := again.Canonical()
		assert.NilError(t, err)
		assert.Equal(t, string(text), string(canonical))
	})
}
