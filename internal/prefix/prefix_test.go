package prefix

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestChainsShareExactlyTheirCommonBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := rapid.IntRange(0, 20).Draw(t, "common")
		first := strings.Repeat("a", common*BlockBytes) + strings.Repeat("b", 2*BlockBytes)
		second := strings.Repeat("a", common*BlockBytes) + strings.Repeat("c", 3*BlockBytes)
		scope := Scope{Tenant: "t"}
		x, _ := Digest([]byte(first), scope)
		y, _ := Digest([]byte(second), scope)
		shared := 0
		for shared < min(len(x), len(y)) && x[shared] == y[shared] {
			shared++
		}
		assert.Equal(t, shared, common)
	})
}

func TestOnlyTheDeclaredPartIsSharedBetweenTenants(t *testing.T) {
	text := []byte(strings.Repeat("x", 10*BlockBytes))
	shared := func(tenant string) Chain {
		chain, tokens := Digest(text, Scope{Tenant: tenant, Shared: "catalog", SharedBytes: 6 * BlockBytes})
		assert.Equal(t, tokens, 10*BlockTokens)
		return chain
	}
	a, b := shared("a"), shared("b")
	for i := range 10 {
		assert.Equal(t, a[i] == b[i], i < 6, "block %d", i)
	}
	own, _ := Digest(text, Scope{Tenant: "a"})
	other, _ := Digest(text, Scope{Tenant: "b"})
	assert.Assert(t, own[0] != other[0] && own[0] != a[0])
}

func TestShortTextsHaveNoChain(t *testing.T) {
	chain, tokens := Digest([]byte("short"), Scope{})
	assert.Equal(t, len(chain), 0)
	assert.Equal(t, tokens, 2)
	assert.Equal(t, chain.Head(16), uint64(0))
}
