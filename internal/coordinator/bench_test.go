package coordinator

import (
	"fmt"
	"testing"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// benchDeployment returns a deployment of engines, and the soft state of a leader that has
// received a heartbeat of each.
func benchDeployment(b *testing.B, engines int) (*state.Machine, *softState) {
	b.Helper()
	r := newTestMachine(b)
	soft := &softState{}
	soft.reset(0)
	for id := range r.enrolEngines(0, engines).Backends {
		soft.heartbeat(time.Second, id, 1)
	}
	return r.machine, soft
}

// The first checkAll of a leader costs more than those measured here.
func BenchmarkCheckAll(b *testing.B) {
	for _, count := range []int{300, 3000, 10000, 20000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			m, soft := benchDeployment(b, count)
			for range b.N {
				soft.checkAll(time.Second, 3*time.Second, m.Deployment().Backends)
			}
		})
	}
}

// Measures views with one changed row and full views of a router that starts.
func BenchmarkView(b *testing.B) {
	for _, count := range []int{300, 3000, 10000, 20000} {
		m, _ := benchDeployment(b, count)
		var s broadcast
		s.advance(0, m.Applied(), m.Deployment())
		shard := coordapi.ShardOf("router", s.shards())
		b.Run(fmt.Sprint("news/", count), func(b *testing.B) {
			for range b.N {
				s.deltas = map[uint64]*delta{}
				s.fillChanges(&coordapi.View{Shard: shard}, m.Deployment(), m.Applied())
			}
		})
		b.Run(fmt.Sprint("whole/", count), func(b *testing.B) {
			for range b.N {
				s.deltas = map[uint64]*delta{}
				s.fillFull(&coordapi.View{Shard: shard}, m.Deployment())
			}
		})
	}
}
