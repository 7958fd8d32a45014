package coordapi

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/state"
)

func TestPackRoundTripsFullView(t *testing.T) {
	var rows []state.Backend
	for i := range 3000 {
		rows = append(rows, state.Backend{ID: fmt.Sprintf("i-%010x", i*7919), Pool: "llm", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			Zone: "east", Slots: 16, Weights: map[string]int{"m": 3}, Revision: uint64(i)})
	}
	packed, err := Pack(FullView{Document: []byte(`{"version":7}`), Backends: rows})
	assert.NilError(t, err)
	// All routers of a deployment may request it at the same time.
	assert.Assert(t, len(packed) < 40*len(rows), "%d bytes", len(packed))
	var got FullView
	assert.NilError(t, Unpack(packed, &got))
	assert.Equal(t, string(got.Document), `{"version":7}`)
	assert.DeepEqual(t, got.Backends, rows)
}

func TestUnpackRejectsDamagedData(t *testing.T) {
	packed, err := Pack(FullView{})
	assert.NilError(t, err)
	for _, damaged := range [][]byte{nil, packed[:len(packed)/2], []byte("not packed")} {
		var got FullView
		assert.Assert(t, Unpack(damaged, &got) != nil)
	}
}
