package relay

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
)

func ExampleOrigin_Encode() {
	o := Origin{Router: "router-1", Age: 120 * time.Millisecond, Ran: 1, Delivered: 1, Counted: true}
	fmt.Println(o.Encode())
	// Output: age_ms=120&counted=true&delivered=1&ran=1&router=router-1
}

func TestOriginIsBounded(t *testing.T) {
	long := "age_ms=1&ran=0&delivered=0&router=" + strings.Repeat("r", maxOrigin)
	for _, text := range []string{"", "ran=1", "age_ms=-1&ran=0&delivered=0", "age_ms=1&ran=65&delivered=0", "age_ms=x&ran=0&delivered=0", "%zz", long} {
		_, err := ParseOrigin(text)
		assert.ErrorContains(t, err, HeaderOrigin, "%.20q", text)
	}
}

func FuzzParseOrigin(f *testing.F) {
	f.Add("age_ms=120&counted=true&delivered=1&ran=1&router=router-1")
	f.Add("ran=1;%")
	f.Fuzz(func(t *testing.T, text string) {
		o, err := ParseOrigin(text)
		if err != nil {
			return
		}
		if o.Ran < 0 || o.Ran > maxAttempts || o.Delivered < 0 || o.Delivered > maxAttempts || o.Age < 0 || o.Age > time.Hour {
			t.Fatalf("%+v", o)
		}
		if again, err := ParseOrigin(o.Encode()); err == nil && *again != *o {
			t.Fatalf("%+v, again %+v", o, again)
		}
	})
}

func register(g *Registry, now time.Duration, name, zone string, lost ...string) *coordapi.Relays {
	r := &coordapi.Relays{Router: name + "/1", Zone: zone, Address: name, Lost: lost}
	g.Register(now, r)
	return r
}

func anyone(string) bool { return true }

func TestRegistryNamesRoutersThatReachLostPools(t *testing.T) {
	var g Registry
	asking := register(&g, 0, "asking", "a", "llm", "app")
	register(&g, 0, "also-cut", "a", "llm", "app")
	register(&g, 0, "engines-only", "b", "app")
	register(&g, 0, "apps-only", "b", "llm")
	names := map[string]bool{}
	for _, r := range g.Choose(0, asking, anyone) {
		names[r.Address] = true
	}
	assert.DeepEqual(t, names, map[string]bool{"engines-only": true, "apps-only": true})
	assert.Equal(t, g.Lost(), 4)
	// Without a lost pool, only routers without one are named.
	assert.Equal(t, len(g.Choose(0, &coordapi.Relays{Router: "x", Address: "x", Zone: "a"}, anyone)), 0)
	assert.Equal(t, len(g.Choose(0, asking, func(name string) bool { return name == "apps-only/1" })), 1)
	assert.Equal(t, len(g.Choose(registrationTimeout+1, asking, anyone)), 0)
}

// At 985 routers, half of them cut, the requests of the cut ones must be spread over the others, and
// not only over those of their own zone, which may be cut as well.
func TestRegistrySpreadsOverRoutersAndZones(t *testing.T) {
	const routers, zones = 985, 5
	var g Registry
	for i := range routers {
		lost := []string{}
		if i%2 == 0 {
			lost = []string{"llm"}
		}
		register(&g, 0, fmt.Sprint("r", i), fmt.Sprint("z", i%zones), lost...)
	}
	chosen := map[string]int{}
	for i := 0; i < routers; i += 2 {
		list := g.Choose(0, &coordapi.Relays{Router: "x", Address: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%zones), Lost: []string{"llm"}}, anyone)
		assert.Equal(t, len(list), MaxRelays)
		near := 0
		for _, r := range list {
			chosen[r.Address]++
			if r.Zone == fmt.Sprint("z", i%zones) {
				near++
			}
		}
		assert.Assert(t, near <= maxNear, "%d", near)
	}
	most := 0
	for _, n := range chosen {
		most = max(most, n)
	}
	// Six are expected of each; a binomial count beyond 24 has a probability below 1e-6.
	assert.Assert(t, len(chosen) > 480 && most <= 24, "%d chosen, one %d times", len(chosen), most)
}

func TestRoutersOfOwnZoneFillUp(t *testing.T) {
	var g Registry
	for i := range 10 {
		register(&g, 0, fmt.Sprint("r", i), "a")
	}
	assert.Equal(t, len(g.Choose(0, &coordapi.Relays{Router: "x", Address: "x", Zone: "a", Lost: []string{"llm"}}, anyone)), MaxRelays)
}

func TestSelectorSpreadsAndSetsAside(t *testing.T) {
	s := NewSelector("a")
	s.Set(0, []coordapi.Relay{{Address: "near", Zone: "a"}, {Address: "far", Zone: "b"}, {Address: "lost", Zone: "a", Lost: []string{"llm"}}})
	assert.Equal(t, s.Known(), 3)
	choose := func(now time.Duration, tried ...string) string {
		address, _, _ := s.Choose(now, "llm", tried, 0)
		return address
	}
	counts := map[string]int{}
	for range 20 {
		counts[choose(0)]++
	}
	// The router in the other zone has two requests less.
	assert.DeepEqual(t, counts, map[string]int{"near": 11, "far": 9})
	assert.Equal(t, choose(0, "near", "far"), "")
	s.Declined(0, "far", "llm")
	s.Unreachable(0, "near")
	assert.Equal(t, choose(declinedPause-1), "near", "there is no other one")
	assert.Equal(t, choose(declinedPause), "far")
	assert.Equal(t, choose(unreachablePause, "far"), "near")
	s.Declined(unreachablePause, "near", "llm")
	s.Declined(unreachablePause, "far", "llm")
	assert.Equal(t, choose(unreachablePause), "")
	s.Set(0, nil)
	assert.Equal(t, s.Known(), 3)
}

// A router that is suspended accepts connections and responds to nothing. It must not get every second
// request until the first of them times out.
func TestSelectorAvoidsRoutersThatRespondToNothing(t *testing.T) {
	s := NewSelector("a")
	s.Set(0, []coordapi.Relay{{Address: "fine", Zone: "a"}, {Address: "suspended", Zone: "a"}})
	const (
		openAtFine    = 10
		callerTimeout = time.Second
		interval      = 20 * time.Millisecond
	)
	counts := map[string]int{}
	type call struct {
		until time.Duration
		done  func()
	}
	var calls []call
	for now := time.Duration(0); now < 5*time.Second; now += interval {
		for len(calls) > 0 && calls[0].until <= now {
			calls[0].done()
			calls = calls[1:]
		}
		address, done, found := s.Choose(now, "llm", nil, 0.5)
		assert.Assert(t, found)
		until := now + callerTimeout
		if address == "fine" {
			s.Responded(now, address)
			until = now + openAtFine*interval
		}
		calls = append(calls, call{until, done})
		slices.SortStableFunc(calls, func(a, b call) int { return cmp.Compare(a.until, b.until) })
		counts[address]++
	}
	// Those of the first half second, and one for each time-out after it.
	assert.Assert(t, counts["suspended"] <= openAtFine+5, "%v", counts)
	// A router with long requests responds to others meanwhile.
	busy := NewSelector("a")
	busy.Set(0, []coordapi.Relay{{Address: "busy", Zone: "a"}, {Address: "far", Zone: "b"}})
	for now := time.Duration(0); now < time.Second; now += 100 * time.Millisecond {
		address, done, _ := busy.Choose(now, "llm", nil, 0)
		assert.Equal(t, address, "busy")
		busy.Responded(now, address)
		if now > 0 {
			done()
		}
	}
}

// A router may decline while it has no lease for a moment: it must be asked again before the next
// requests are refused.
func TestRouterThatDeclinedIsAskedAgainSoon(t *testing.T) {
	s := NewSelector("a")
	s.Set(0, []coordapi.Relay{{Address: "other", Zone: "a"}})
	s.Declined(0, "other", "llm")
	_, _, found := s.Choose(50*time.Millisecond, "llm", nil, 0)
	assert.Assert(t, !found)
	_, _, found = s.Choose(150*time.Millisecond, "llm", nil, 0)
	assert.Assert(t, found)
}

// A new leader names nobody until routers have registered with it. Those that the last one named must
// be kept, but for a bounded time and number, and those that are named again preferred.
func TestRoutersAreKeptWhileNewLeaderNamesNone(t *testing.T) {
	s := NewSelector("a")
	s.Set(0, []coordapi.Relay{{Address: "first", Zone: "a"}, {Address: "second", Zone: "a"}})
	s.Set(time.Second, nil)
	_, done, found := s.Choose(time.Second, "llm", nil, 0)
	assert.Assert(t, found)
	done()
	s.Set(2*time.Second, []coordapi.Relay{{Address: "second", Zone: "a"}})
	for range unlistedCost {
		address, _, _ := s.Choose(2*time.Second, "llm", nil, 0)
		assert.Equal(t, address, "second")
	}
	address, _, _ := s.Choose(2*time.Second, "llm", []string{"second"}, 0)
	assert.Equal(t, address, "first")
	for i := range 200 {
		s.Set(3*time.Second, []coordapi.Relay{{Address: fmt.Sprint("r", i), Zone: "a"}})
		assert.Assert(t, s.Known() <= maxKnown+1)
	}
	kept := NewSelector("a")
	kept.Set(0, []coordapi.Relay{{Address: "first", Zone: "a"}})
	kept.Set(retention+1, nil)
	assert.Equal(t, kept.Known(), 0)
}

// Routers that are cut as well, and were named before, must not be asked in place of the one that serves,
// however many requests that one has.
func TestCutRouterDoesNotAskOthersThatAreCut(t *testing.T) {
	const routers = 7
	var g Registry
	for i := range routers {
		register(&g, 0, fmt.Sprint("r", i), fmt.Sprint("z", i%3))
	}
	s := NewSelector("z0")
	s.Set(0, g.Choose(0, &coordapi.Relays{Router: "r0/1", Address: "r0", Zone: "z0"}, anyone))
	assert.Equal(t, s.Known(), routers-1)
	for i := range routers - 1 {
		register(&g, time.Second, fmt.Sprint("r", i), fmt.Sprint("z", i%3), "llm")
	}
	s.Set(time.Second, g.Choose(time.Second, &coordapi.Relays{Router: "r0/1", Address: "r0", Zone: "z0", Lost: []string{"llm"}, Known: s.Addresses()}, anyone))
	for range 30 {
		address, _, found := s.Choose(time.Second, "llm", nil, 0)
		assert.Assert(t, found)
		assert.Equal(t, address, fmt.Sprint("r", routers-1))
	}
	// They are asked again once the leader names them.
	register(&g, 2*time.Second, "r1", "z1")
	s.Set(2*time.Second, g.Choose(2*time.Second, &coordapi.Relays{Router: "r0/1", Address: "r0", Zone: "z0", Lost: []string{"llm"}, Known: s.Addresses()}, anyone))
	address, _, _ := s.Choose(2*time.Second, "llm", nil, 0)
	assert.Equal(t, address, "r1")
}
