package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/traffic"
	"quinceridge.example/quinceridge/internal/upstream"
)

const storeAddress = "10.0.0.9:1"

// promptJob is a request with two shared parts.
func promptJob(t *testing.T) *job {
	t.Helper()
	built, err := traffic.Build(&traffic.Table{Version: 1,
		Pools: []traffic.Pool{{Name: "llm", Engine: &traffic.Engine{Slots: 4, CapacityTokens: 10000}},
			{Name: "store", Store: &traffic.Store{Address: storeAddress}}},
		Routes: []traffic.Route{{Name: "chat", Host: "h", Prefix: "/", Kind: traffic.KindStream, Timeout: 1, Split: []traffic.Share{{Pool: "llm", Weight: 1}}}},
	})
	assert.NilError(t, err)
	return &job{table: built, route: &built.Routes[0], pool: &built.Pools[0], request: &upstream.Request{Header: map[string][]string{}}, parts: []string{"rules", "case"},
		query: backends.Query{Model: "m", Key: "case"}}
}

func promptHandler() *Handler {
	return &Handler{config: Config{Headers: names, Saved: NewSaved(), Pool: backends.NewPool("a")}, clock: clock.Now, started: clock.Now()}
}

// Requests that waited a second for the store held memory at their engines, which
// then kept less, so that more was taken from the store: that went on as long as
// the load did.
func TestASlowStoreIsLeftAloneUntilItHasCaughtUp(t *testing.T) {
	h := promptHandler()
	home := backends.Choice{ID: "a", Version: 1, Versioned: true, Home: true, HomeAddress: "10.0.0.1:1"}
	j := promptJob(t)
	j.query.Shared = 4000 // read in 100 ms by the speed that is assumed at first
	ask := func() string {
		h.addressPrompt(j, home)
		return j.request.Header.Get(names.FetchFrom)
	}
	assert.Equal(t, ask(), storeAddress)
	h.noteStore(j, 1500*time.Millisecond)
	assert.Equal(t, ask(), storeAddress, "one slow request is no proof")
	for range 8 {
		ask()
		h.noteStore(j, 1500*time.Millisecond)
	}
	assert.Equal(t, ask(), "")
	assert.Equal(t, j.request.Header.Get(names.SaveTo), "")
	h.started -= 3 * time.Second
	assert.Equal(t, ask(), storeAddress, "the delay is forgotten")
}

// A request away from its home was sent to read a part that the store held, as
// long as the last part was not there.
func TestTheStoreIsTheSourceOnceItHoldsTheFirstPart(t *testing.T) {
	h := promptHandler()
	away := backends.Choice{ID: "b", Version: 1, Versioned: true, HomeAddress: "10.0.0.1:1"}

	j := promptJob(t)
	h.addressPrompt(j, away)
	assert.Equal(t, j.request.Header.Get(names.FetchFrom), away.HomeAddress)

	h.config.Saved = NewSaved()
	h.config.Saved.ShouldSave(salt(j, 1), j.parts[:1])
	h.addressPrompt(j, away)
	assert.Equal(t, j.request.Header.Get(names.FetchFrom), storeAddress)
	assert.Equal(t, j.request.Header.Get(names.SaveTo), storeAddress)
}

// Half of what the store took were parts that nobody fetches: its link was busy
// for most of the day, and it dropped shared parts after six seconds.
func TestARequestOfItsOwnSavesNothing(t *testing.T) {
	h := promptHandler()
	home := backends.Choice{ID: "a", Version: 1, Versioned: true, Home: true}
	for _, c := range []struct {
		own, shared int
		saves       string
	}{{own: 151, shared: 300, saves: ""}, {own: 150, shared: 300, saves: storeAddress}} {
		j := promptJob(t)
		j.query.Work.Prompt, j.query.Shared = c.own, c.shared
		h.addressPrompt(j, home)
		assert.Equal(t, j.request.Header.Get(names.SaveTo), c.saves)
		assert.Equal(t, j.request.Header.Get(names.FetchFrom), storeAddress)
	}
}

func TestOnlyLeadingPartsCountAsKnown(t *testing.T) {
	s := NewSaved()
	s.ShouldSave("m/1", []string{"case"})
	assert.Equal(t, s.CountSaved("m/1", []string{"rules", "case"}), 0)
	s.ShouldSave("m/1", []string{"rules"})
	assert.Equal(t, s.CountSaved("m/1", []string{"rules", "case", "more"}), 2)
	assert.Equal(t, s.CountSaved("m/2", []string{"rules"}), 0)
}

func TestSharedPartsAreAllButTheLast(t *testing.T) {
	ids, tokens := sharedParts("a:30, b:5,own:7")
	assert.DeepEqual(t, ids, []string{"a", "b"})
	assert.DeepEqual(t, tokens, []int{30, 5})
}
