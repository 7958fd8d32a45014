package bundle

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/config"
)

func sample(version uint64, parent string) *Bundle {
	return &Bundle{Version: version, Parent: parent, Approvals: 0,
		Models:  map[string]Model{"m": {WeightsVersion: 1, PrefillTokensPerSecond: 7000, MaxOutputTokens: 10}},
		Classes: map[string]Class{"c": {Priority: 1, FirstToken: time.Second}, "high": {Priority: 9, FirstToken: 100 * time.Millisecond}},
		Tenants: map[string]Tenant{"a": {KeySHA256: strings.Repeat("0", 64), Weight: 1, Class: "c"}}}
}

func TestPatchAppliesDelta(t *testing.T) {
	from, err := sample(1, "").Canonical()
	assert.NilError(t, err)
	next := sample(2, Digest(from))
	next.Tenants["b"] = Tenant{KeySHA256: strings.Repeat("1", 64), Weight: 2, Class: "c"}
	delete(next.Classes, "high")
	to, err := next.Canonical()
	assert.NilError(t, err)
	delta, err := Delta(from, to)
	assert.NilError(t, err)
	assert.Assert(t, len(delta) < len(to))
	rebuilt, err := Patch(from, delta, Digest(to))
	assert.NilError(t, err)
	assert.Equal(t, string(rebuilt), string(to))
	_, err = Patch(from, delta, Digest(from))
	assert.ErrorIs(t, err, ErrDigest)
}

func TestCheckReportsInvalidReferences(t *testing.T) {
	b := sample(2, "")
	b.Tenants["b"] = Tenant{KeySHA256: strings.Repeat("0", 64), Weight: 1, Class: "none"}
	b.Events = map[string]Event{"e": {Tenants: []string{"nobody"}}}
	b.Routes = map[string]Route{"x": {Path: "/p"}, "y": {Path: "/p"}}
	b.Approvals = 1
	var paths []string
	for _, p := range b.Check() {
		paths = append(paths, p.Path)
	}
	assert.DeepEqual(t, paths, []string{"$.parent", "$.approvals", "$.tenants.b.class", "$.tenants.b.key_sha256", "$.events.e.tenants", "$.routes.y.path"})
}

func TestVerifyRequiresMatchingDigestAndKey(t *testing.T) {
	public, private, err := GenerateKey()
	assert.NilError(t, err)
	signer, signature, err := Sign(private, "digest")
	assert.NilError(t, err)
	assert.Equal(t, signer, public)
	assert.Assert(t, Verify(public, "digest", signature))
	assert.Assert(t, !Verify(public, "another", signature))
	other, _, err := GenerateKey()
	assert.NilError(t, err)
	assert.Assert(t, !Verify(other, "digest", signature))
	assert.Assert(t, !Verify("xyz", "digest", signature))
	_, _, err = Sign("abc", "digest")
	assert.ErrorContains(t, err, "32 bytes")
}

func TestPatienceIsShortestOfClassAndHigherPriorities(t *testing.T) {
	b := sample(1, "")
	assert.Equal(t, b.Patience(b.Classes["c"]), 100*time.Millisecond)
	assert.Equal(t, b.Patience(b.Classes["high"]), 100*time.Millisecond)
}

func TestExampleIsValid(t *testing.T) {
	b := &Bundle{}
	assert.NilError(t, config.Load("../../examples/bundle.yaml", b))
}
