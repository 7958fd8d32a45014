// Package prefix turns a prompt into a chain of block digests. Apart from hash
// collisions, two prompts share their first n digests exactly if they share
// their scope and their first n blocks. A collision may misplace a request, but
// cannot expose other content, because the engine compares the prompt itself.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the assumed mean length of a token.
	BytesPerToken = 4
	// BlockTokens is the length of a block in tokens.
	BlockTokens = 64
	// BlockBytes is the length of a block in bytes.
	BlockBytes = BytesPerToken * BlockTokens
)

// Scope determines which cache entries a prompt may use.
type Scope struct {
	// Tenant is the name of the tenant that owns the prompt.
	Tenant string
	// Shared is the name of a shared prompt declared by a bundle, or empty.
	Shared string
	// SharedBytes is the length of the prompt's part that belongs to the shared prompt.
	SharedBytes int
}

// Chain holds the digests of the whole blocks of a prompt, first block first.
type Chain []uint64

// Digest returns the chain of text under scope, and the estimated number of
// tokens of text. Blocks that lie wholly in the shared part are salted with
// the shared prompt's name, all later ones with the tenant's name as well.
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

// Tokens estimates the number of tokens in a text of n bytes, rounded up.
func Tokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// Extend returns the digest of the chain with digest parent extended by block.
func Extend(parent, block uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], parent)
	binary.LittleEndian.PutUint64(buffer[8:], block)
	return xxhash.Sum64(buffer[:])
}

func salt(kind, name string) uint64 {
	return xxhash.Sum64String(kind + "\x00" + name)
}

// Head returns the digest at a depth, the last one of a shorter chain, or 0 for an empty chain.
func (c Chain) Head(depth int) uint64 {
	if len(c) == 0 || depth <= 0 {
		return 0
	}
	return c[min(depth, len(c))-1]
}
