package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/loopback"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
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

// Measures the registration of back ends that all start at once, per back end, in a group of one.
func BenchmarkRegister(b *testing.B) {
	address, err := loopback.FreeAddress()
	assert.NilError(b, err)
	config := settings.Coordinator{Name: "node", Zone: "a", PeerListen: address, Seeds: []string{address}, Bootstrap: true, DataDirectory: b.TempDir(),
		BackendHeartbeat: time.Second, WeightsDeadline: 8 * time.Second, OrderLease: time.Second}
	config.SetDefaults()
	s, err := New(config, newFakeEngines(), traffic.Parse, slog.New(slog.DiscardHandler))
	assert.NilError(b, err)
	assert.NilError(b, s.Start())
	defer s.abort()
	register := func(name string) error {
		_, err := s.Call(context.Background(), heartbeatOf(name, 100, 1, false, 1))
		return err
	}
	for register("first") != nil {
		time.Sleep(10 * time.Millisecond)
	}
	b.ResetTimer()
	var next atomic.Int64
	var group sync.WaitGroup
	for range 256 {
		group.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				assert.Check(b, register(fmt.Sprint("x", n)))
			}
		})
	}
	group.Wait()
}
