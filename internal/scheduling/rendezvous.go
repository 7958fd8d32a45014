package scheduling

import (
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// EndpointKey returns the rendezvous key of the endpoint with the given ID.
func EndpointKey(id string) uint64 { return xxhash.Sum64String(id) }

// weight returns the rendezvous weight of an endpoint for a key. It depends on the two alone, so
// routers compute the same order without exchanging messages.
func weight(key, endpoint uint64) uint64 {
	high, low := bits.Mul64(key^0x9e3779b97f4a7c15, endpoint|1)
	mixed := high ^ low ^ endpoint
	mixed ^= mixed >> 29
	mixed *= 0xbf58476d1ce4e5b9
	mixed ^= mixed >> 32
	return mixed
}

// order sorts endpoints in place, by descending rendezvous weight for the key, and returns them.
func order(key uint64, endpoints []*Endpoint) []*Endpoint {
	weights := make(map[*Endpoint]uint64, len(endpoints))
	for _, e := range endpoints {
		weights[e] = weight(key, e.Key)
	}
	sort.Slice(endpoints, func(i, j int) bool {
		a, b := weights[endpoints[i]], weights[endpoints[j]]
		if a != b {
			return a > b
		}
		return endpoints[i].ID < endpoints[j].ID
	})
	return endpoints
}
