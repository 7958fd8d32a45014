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

const identityFile = "identity.json"

// identity identifies a node in the group. It is stored on the disk: a node that lost its disk
// joins with a new identity, so that it does not vote without the state that it lost.
type identity struct {
	ID uint64 `json:"id"`
	// Initial is the membership of a new group, empty for a node that joins one.
	Initial raft.Membership `json:"initial"`
}

// loadIdentity reads the identity, or creates one. The initial members of a group are exactly the
// seeds of its first start.
func loadIdentity(fs vfs.FS, config settings.Coordinator) (identity, error) {
	var out identity
	file, err := storage.OpenFile(fs, config.DataDirectory, identityFile)
	if err != nil {
		return out, err
	}
	if content := file.Content(); len(content) > 0 {
		err := json.Unmarshal(content, &out)
		return out, errors.Wrapf(err, "decode %s", identityFile)
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
	first := identity{ID: seedID(config.PeerAddress)}
	first.Initial.Addresses = map[uint64]string{}
	for _, seed := range config.Coordinators() {
		id := seedID(seed)
		first.Initial.Voters = append(first.Initial.Voters, id)
		first.Initial.Addresses[id] = seed
	}
	slices.Sort(first.Initial.Voters)
	return first
}

// seedID returns the ID of an initial member. Members that join later have random IDs with the
// lowest bit set, so the two cannot collide.
func seedID(address string) uint64 { return xxhash.Sum64String(address) &^ 1 >> 1 &^ 1 }
