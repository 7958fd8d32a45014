package coordinator

import (
	"encoding/json"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"

	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/storage"
)

const identityName = "identity.json"

// identity is who a node is in the group. It is bound to the disk: a node whose
// disk was lost is somebody else and never votes as if it knew nothing.
type identity struct {
	ID uint64 `json:"id"`
	// Initial is the membership of a new group, empty for a node that joins.
	Initial raft.Membership `json:"initial"`
}

// loadIdentity reads the identity, or makes one. The first members of a group
// are exactly the seeds of its first start.
func loadIdentity(fs vfs.FS, config settings.Coordinator) (identity, error) {
	var out identity
	file, err := storage.OpenFile(fs, config.DataDirectory, identityName)
	if err != nil {
		return out, err
	}
	if content := file.Content(); len(content) > 0 {
		err := json.Unmarshal(content, &out)
		return out, errors.Wrapf(err, "%s cannot be read", identityName)
	}
	out = newIdentity(config)
	content, err := json.Marshal(out)
	if err != nil {
		return out, errors.Wrap(err, "encode identity")
	}
	return out, file.Replace(content)
}

func newIdentity(config settings.Coordinator) identity {
	if !config.Bootstrap || !slices.Contains(config.Coordinators(), config.PeerAddress) {
		return identity{ID: rand.Uint64()>>1 | 1}
	}
	first := identity{ID: founderID(config.PeerAddress)}
	first.Initial.Addresses = map[uint64]string{}
	for _, seed := range config.Coordinators() {
		id := founderID(seed)
		first.Initial.Voters = append(first.Initial.Voters, id)
		first.Initial.Addresses[id] = seed
	}
	slices.Sort(first.Initial.Voters)
	return first
}

// founderID is the number of a first member. Later members draw theirs at
// random with the lowest bit set, so the two never meet.
func founderID(address string) uint64 { return xxhash.Sum64String(address) &^ 1 >> 1 &^ 1 }
