// Package prefix turns a prompt into a chain of block digests. Two prompts
// share their first n digests exactly when they share their scope and their
// first n blocks, but for hash collisions. Collisions can misplace a request;
// they cannot serve it foreign content, because the engine compares the
// prompt itself (see docs/design/placement.md).
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the mean length of a token that estimates assume.
	BytesPerToken = 4
	// BlockTokens is the length of a block in tokens.
	BlockTokens = 64
	// BlockBytes is the length of a block in bytes.
	BlockBytes = BytesPerToken * BlockTokens
)

// Scope says whose cache entries a prompt may use.
type Scope struct {
	// Tenant is the name of the tenant that owns the prompt.
	Tenant string
	// Shared is the name of a shared prompt that a bundle declares, or empty.
	Shared string
	// SharedBytes is how much of the prompt belongs to the shared prompt.
	SharedBytes int
}

// Chain is the digests of the whole blocks of a prompt, first block first.
type Chain []uint64

// Digest returns the chain of text under scope, and the prompt's length in
// tokens, rounded up. Blocks that lie wholly in the shared part are salted
// with the shared prompt's name, all later ones with the tenant's name too.
func Digest(text []byte, scope Scope) (chain Chain, tokens int) {
	tokens = Tokens(len(text))
	shared := scope.SharedBytes / BlockBytes
	if scope.Shared == "" {
		shared = 0
	}
	previous := salt("shared", scope.Shared)
	if shared == 0 {
		previous = salt("tenant", scope.Tenant)
	}
	chain = make(Chain, 0, len(text)/BlockBytes)
	for start := 0; start+BlockBytes <= len(text); start += BlockBytes {
		if shared > 0 && start/BlockBytes == shared {
			previous = Extend(previous, salt("tenant", scope.Tenant))
		}
		previous = Extend(previous, xxhash.Sum64(text[start:start+BlockBytes]))
		chain = append(chain, previous)
	}
	return chain, tokens
}

// Tokens estimates how many tokens a text of n bytes has.
func Tokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// Extend returns the digest of a chain that ends in parent, then block.
func Extend(parent, block uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], parent)
	binary.LittleEndian.PutUint64(buffer[8:], block)
	return xxhash.Sum64(buffer[:])
}

func salt(kind, name string) uint64 {
	return xxhash.Sum64String(kind + "\x00" + name)
}

// Head returns the digest at the given depth, or the last one of a shorter
// chain, or 0 for an empty chain.
func (c Chain) Head(depth int) uint64 {
	if len(c) == 0 || depth <= 0 {
		return 0
	}
	return c[min(depth, len(c))-1]
}
