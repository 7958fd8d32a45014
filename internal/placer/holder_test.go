package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// Guards against replies that do not tell why a copy of shared parts was made.
func TestReplyStatesHolder(t *testing.T) {
	now := time.Second
	for _, c := range []struct {
		name   string
		change func(p *Placer, holder string, ask *coordapi.Place)
		want   coordapi.HolderState
	}{
		{"holder chosen", func(*Placer, string, *coordapi.Place) {}, coordapi.HolderChosen},
		{"no holder", func(_ *Placer, _ string, ask *coordapi.Place) { ask.Parts[1].Hash = 77 }, ""},
		{"holder tried", func(_ *Placer, holder string, ask *coordapi.Place) { ask.Tried = []string{holder} }, coordapi.HolderUnavailable},
		{"holder gone", func(p *Placer, holder string, _ *coordapi.Place) { p.Apply(nil, []string{holder}, false) }, coordapi.HolderUnavailable},
		{"holder full", func(p *Placer, holder string, _ *coordapi.Place) {
			// Requests of the size of half an engine fill the holder.
			for number := range uint64(2) {
				ask := longPrompt("other", number+1, "k")
				ask.Own, ask.Most, ask.Capacity = 1000, 80_000, 90_000
				assert.Equal(t, p.Place(now, ask).ID, holder)
			}
		}, coordapi.HolderFull},
		{"holder with capacity", func(p *Placer, holder string, _ *coordapi.Place) {
			// The holder is busy for longer than a copy takes.
			number := uint64(1)
			for p.Place(now, longPrompt("other", number, "k")).ID == holder {
				number++
			}
		}, coordapi.HolderFree},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPlacer(4)
			holder := p.Place(now, longPrompt("r", 1, "k")).ID
			ask := longPrompt("r", 2, "k")
			c.change(p, holder, ask)
			placed := p.Place(now, ask)
			assert.Equal(t, placed.Holder, c.want, "%+v", placed)
		})
	}
}
