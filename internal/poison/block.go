package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// Block names what is kept from back ends: one request, or all requests whose prompts contain each
// of a set of shared parts.
type Block struct {
	// ID is the digest of the request, or SetDigest of the parts.
	ID Digest
	// Parts are in ascending order; empty for a request.
	Parts []Digest
	// Backends are those that ended under it, as far as known.
	Backends []string
	// Presumed are those of them of which only overdue heartbeats show that they ended. Heartbeats of the
	// same start show that they did not.
	Presumed []string
	// Since is when it took effect, by the Detector's clock.
	Since time.Duration
}

// NotInForce is the Since of a block that has not taken effect yet.
const NotInForce = time.Duration(math.MaxInt64)

// setMarker precedes what is hashed of a set of parts.
const setMarker = partMarker - 1

// SetDigest returns the digest of a set of parts, which are in ascending order. That of a single
// part is its own.
func SetDigest(parts []Digest) Digest {
	if len(parts) == 1 {
		return parts[0]
	}
	text := binary.AppendUvarint(nil, setMarker)
	for _, part := range parts {
		text = binary.BigEndian.AppendUint64(text, uint64(part))
	}
	sum := sha256.Sum256(text)
	return max(Digest(binary.BigEndian.Uint64(sum[:])), 1)
}

// concerns reports whether a digest is the block's request or one of its parts.
func (b *Block) concerns(d Digest) bool {
	if len(b.Parts) == 0 {
		return d == b.ID
	}
	_, found := slices.BinarySearch(b.Parts, d)
	return found
}

// covers reports whether the block applies to a request with the given digests, its own and those of
// its parts, which are in ascending order.
func (b *Block) covers(digests []Digest) bool {
	if len(b.Parts) == 0 {
		return contains(digests, b.ID)
	}
	return containsAll(digests, b.Parts)
}

func contains(sorted []Digest, d Digest) bool {
	_, found := slices.BinarySearch(sorted, d)
	return found
}

func containsAll(sorted, subset []Digest) bool {
	for _, d := range subset {
		if !contains(sorted, d) {
			return false
		}
	}
	return true
}

// Index finds the blocks that apply to a request. The zero value contains none.
type Index struct {
	requests map[Digest]int
	// parts maps the first part of each set to the positions of its blocks.
	parts map[Digest][]int
	sets  [][]Digest
}

// Add adds a block, whose position in a list of the caller Find returns.
func (x *Index) Add(position int, id Digest, parts []Digest) {
	if x.requests == nil {
		x.requests, x.parts = map[Digest]int{}, map[Digest][]int{}
	}
	for len(x.sets) <= position {
		x.sets = append(x.sets, nil)
	}
	if len(parts) == 0 {
		x.requests[id] = position
		return
	}
	x.sets[position] = parts
	x.parts[parts[0]] = append(x.parts[parts[0]], position)
}

// Find returns the position of a block that applies to a request. The digests of the parts of its
// prompt are asked for only if some are blocked.
func (x *Index) Find(request Digest, parts func() []Digest) (position int, found bool) {
	if position, found = x.requests[request]; found || len(x.parts) == 0 {
		return position, found
	}
	digests := parts()
	for _, d := range digests {
		for _, position := range x.parts[d] {
			if containsUnsorted(digests, x.sets[position]) {
				return position, true
			}
		}
	}
	return 0, false
}

// All returns the positions of all blocks that apply to a request, in ascending order.
func (x *Index) All(request Digest, parts func() []Digest) []int {
	var out []int
	if position, found := x.requests[request]; found {
		out = append(out, position)
	}
	if len(x.parts) > 0 {
		digests := parts()
		for _, d := range digests {
			for _, position := range x.parts[d] {
				if containsUnsorted(digests, x.sets[position]) {
					out = append(out, position)
				}
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func containsUnsorted(digests, subset []Digest) bool {
	for _, d := range subset {
		if !slices.Contains(digests, d) {
			return false
		}
	}
	return true
}
