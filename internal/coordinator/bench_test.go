package coordinator

import (
	"fmt"
	"testing"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// benchDeployment returns a deployment of engines, and a leader's soft state that has heard
// of them.
func benchDeployment(b *testing.B, engines int) (*state.Machine, *softState) {
	b.Helper()
	r := newReplicated(b)
	soft := &softState{}
	soft.reset(0)
	for id := range r.enrolled(0, engines).Backends {
		soft.heard(time.Second, id, 1)
	}
	return r.machine, soft
}

// What a look at all back ends for silence costs, beside the first of a leader.
func BenchmarkLook(b *testing.B) {
	for _, count := range []int{300, 3000, 10000, 20000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			m, soft := benchDeployment(b, count)
			for range b.N {
				soft.look(time.Second, 3*time.Second, m.Deployment().Backends)
			}
		})
	}
}

// What a router's view costs that lacks a row, and a first view of one that starts.
func BenchmarkView(b *testing.B) {
	for _, count := range []int{300, 3000, 10000, 20000} {
		m, _ := benchDeployment(b, count)
		var s step
		s.next(0, m.Applied(), m.Deployment())
		shard := coordapi.ShardOf("router", s.shards())
		b.Run(fmt.Sprint("news/", count), func(b *testing.B) {
			for range b.N {
				s.deltas = map[uint64]*delta{}
				s.fill(&coordapi.View{Shard: shard}, m.Deployment(), m.Applied())
			}
		})
		b.Run(fmt.Sprint("whole/", count), func(b *testing.B) {
			for range b.N {
				s.deltas = map[uint64]*delta{}
				s.fillWhole(&coordapi.View{Shard: shard}, m.Deployment())
			}
		})
	}
}
