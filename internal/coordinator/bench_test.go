package coordinator

import (
	"encoding/json"
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
	m := state.New()
	soft := &softState{}
	soft.reset(0)
	var rows []state.Backend
	for i := range engines {
		rows = append(rows, engineRow(i))
		soft.heard(time.Second, engineRow(i).ID, 1)
	}
	text, err := json.Marshal(state.Command{Enrol: &state.Enrol{Backends: rows}})
	if err != nil {
		b.Fatal(err)
	}
	if _, err := m.Apply(1, 1, text); err != nil {
		b.Fatal(err)
	}
	return m, soft
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
