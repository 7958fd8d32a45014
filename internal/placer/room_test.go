package placer

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/ratelimit"
)

// Guards against a placement that counts the shared parts of prompts as memory of each request, and
// against a lack of room that is mistaken for a limit of the engine.
func TestQueryWithRoomSharesPartsAndReportsNoRoom(t *testing.T) {
	for _, limits := range []*ratelimit.Limiter{nil, ratelimit.NewLimiter(slog.New(slog.DiscardHandler))} {
		p := New(limits)
		p.Apply(engines(1), nil, true)
		var number uint64
		for {
			number++
			ask := longPrompt("r", number, "key")
			ask.Slots = 64
			q := p.query(0, ask)
			q.Room, q.Patience = true, time.Minute
			choice, found, _ := p.choose(0, ask, q)
			if !found {
				assert.Assert(t, choice.NoRoom)
				assert.Equal(t, choice.RetryAfter, time.Duration(0))
				break
			}
			p.pool.Begin(0, &choice, q, func(error) {})
		}
		// 6,300 shared tokens and 2,950 for each request take at most 0.85 of 90,000.
		assert.Equal(t, number-1, uint64(23))
		assert.Equal(t, p.pool.Room("llm").Used, 6300+23*2950)
		assert.DeepEqual(t, p.query(0, longPrompt("r", 1, "key")).Parts, []coordapi.Part{{Hash: 1, Tokens: 2500}, {Hash: partHash("key"), Tokens: 3800}})
	}
}
