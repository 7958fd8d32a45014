package board

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
)

func TestTableAllowsOneWriter(t *testing.T) {
	var b Board
	writer, err := b.LeaseState.Claim("rollout")
	assert.NilError(t, err)
	_, err = b.LeaseState.Claim("membership")
	assert.ErrorIs(t, err, ErrHasWriter)
	assert.ErrorContains(t, err, "membership asked, rollout has it")
	writer.Store(&LeaseState{Mode: "leased"})
	assert.Equal(t, string(b.LeaseState.Load().Mode), "leased")
}

func TestScopeSharesPromptOnlyWithDeclaredTenants(t *testing.T) {
	text := strings.Repeat("catalog ", 256)
	sum := sha256.Sum256([]byte(text))
	config := NewConfig(controlapi.BundleID{}, &bundle.Bundle{SharedPrompts: map[string]bundle.SharedPrompt{
		"catalog": {SHA256: hex.EncodeToString(sum[:]), Bytes: len(text), Tenants: []string{"a", "b"}}}})
	assert.Equal(t, config.Scope("a", []byte(text+"question")).Shared, "catalog")
	assert.Equal(t, config.Scope("c", []byte(text+"question")).Shared, "")
	assert.Equal(t, config.Scope("a", []byte("x"+text)).Shared, "")
	assert.Equal(t, config.Scope("a", []byte(text[:100])).Shared, "")
}
