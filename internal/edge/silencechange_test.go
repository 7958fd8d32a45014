package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
)

const (
	// changeEngines engines of changeSlots slots are full in each silence beside a change.
	changeEngines, changeSlots = 4, 4
	// changeDelay is the time between the begin of a silence and a change.
	changeDelay = 200 * time.Millisecond
)

// silenceChange is a change of the configuration beside a silence.
type silenceChange struct {
	name string
	// change changes the table that is sent; nil for sent.
	change func(table *traffic.Document)
	// sent sends something else than one changed table.
	sent func(s *silenceTrial)
}

// streamRoutes calls change for each route of streams.
func streamRoutes(table *traffic.Document, change func(r *traffic.DocumentRoute)) {
	for i := range table.Routes {
		if table.Routes[i].Kind == traffic.KindStream {
			change(&table.Routes[i])
		}
	}
}

// submit sends a configuration without waiting until it is in force.
func (s *silenceTrial) submit(version uint64, table traffic.Document) {
	text, err := json.Marshal(table)
	assert.NilError(s.t, err)
	s.call(coordapi.Request{Configure: &state.Configure{Version: version, Document: text}})
}

// changed returns the table of the trial with a change.
func (s *silenceTrial) changed(change func(table *traffic.Document)) traffic.Document {
	table := copyTable(s.table)
	change(&table)
	return table
}

func shortTimeouts(table *traffic.Document) {
	for i := range table.Routes {
		table.Routes[i].Timeout = "3s"
	}
}

func movePrefixes(table *traffic.Document) {
	for i := range table.Routes {
		table.Routes[i].Prefix = "/moved" + table.Routes[i].Prefix
	}
}

func withoutStreams(table *traffic.Document) {
	var routes []traffic.DocumentRoute
	for _, r := range table.Routes {
		if r.Kind != traffic.KindStream {
			routes = append(routes, r)
		}
	}
	table.Routes = routes
}

func (s *silenceTrial) series(count int) {
	for i := range count {
		s.configureTable(s.changed([]func(*traffic.Document){shortTimeouts, movePrefixes, withoutStreams, func(table *traffic.Document) {}}[i%4]))
		time.Sleep(100 * time.Millisecond)
	}
}

// silenceChanges are the changes by the deployment in which they are made one after the other.
var silenceChanges = map[string][]silenceChange{
	"routes": {
		{name: "time-outs", change: shortTimeouts},
		{name: "route goes and its prefix moves", change: func(table *traffic.Document) {
			withoutStreams(table)
			table.Routes = append(table.Routes, traffic.DocumentRoute{Name: "other", Host: "h", Prefix: "/double/", Kind: traffic.KindUnsafe, Timeout: "1s", Split: map[string]int{"app": 1}})
		}},
		{name: "prefixes move", change: movePrefixes},
		{name: "gap targets and patience", change: func(table *traffic.Document) {
			streamRoutes(table, func(r *traffic.DocumentRoute) { r.GapTarget, r.AbandonAfter, r.Target = "50ms", "500ms", "100ms" })
		}},
	},
	"split and pools": {
		{name: "weights of the split", change: func(table *traffic.Document) {
			table.Pools = append(table.Pools, traffic.DocumentPool{Name: "spare", Slots: changeSlots, CapacityTokens: 100000})
			streamRoutes(table, func(r *traffic.DocumentRoute) { r.Split = map[string]int{"llm": 1, "spare": 3} })
		}},
		{name: "split to another pool", change: func(table *traffic.Document) {
			table.Pools = append(table.Pools, traffic.DocumentPool{Name: "spare", Slots: changeSlots, CapacityTokens: 100000})
			streamRoutes(table, func(r *traffic.DocumentRoute) { r.Split = map[string]int{"spare": 1} })
		}},
		{name: "slots of the pool", change: func(table *traffic.Document) { table.Pools[0].Slots, table.Pools[0].CapacityTokens = 1, 100 }},
		{name: "pool goes with its engines", sent: func(s *silenceTrial) {
			s.configureTable(s.changed(func(table *traffic.Document) {
				withoutStreams(table)
				table.Pools = table.Pools[1:]
			}))
			for _, h := range s.engines("llm") {
				h.leave()
			}
		}},
	},
	"tenants and attempts": {
		{name: "key of the caller goes", change: func(table *traffic.Document) { table.Tenants[0].Keys = []string{"new"} }},
		{name: "tenant goes", change: func(table *traffic.Document) { table.Tenants = table.Tenants[1:] }},
		{name: "quota", change: func(table *traffic.Document) { table.Tenants[0].Rate, table.Tenants[0].Burst = 0.1, 0.1 }},
		{name: "attempts and kinds", change: func(table *traffic.Document) {
			streamRoutes(table, func(r *traffic.DocumentRoute) { r.MaxAttempts, r.Resumable = 1, false })
		}},
	},
	"deliveries": {
		{name: "refused", sent: func(s *silenceTrial) {
			s.configureTable(s.changed(func(table *traffic.Document) {
				streamRoutes(table, func(r *traffic.DocumentRoute) { r.Split = map[string]int{"missing": 1} })
			}))
		}},
		{name: "sent twice", sent: func(s *silenceTrial) {
			table := s.changed(withoutStreams)
			s.configureTable(table)
			s.submit(s.version, table)
		}},
		{name: "overtaken", sent: func(s *silenceTrial) {
			s.version++
			s.configureTable(s.changed(shortTimeouts))
			s.submit(s.version-1, s.changed(withoutStreams))
		}},
		{name: "in series", sent: func(s *silenceTrial) { s.series(8) }},
	},
}

// changeRequests returns as many streams as the engines have slots, and some calls.
func changeRequests(name string, routers int) []*asked {
	var out []*asked
	for i := range changeEngines * changeSlots {
		path := []string{"double", "once", "triple", "single"}[i%4]
		a := &asked{kind: path, path: "/" + path + "/", router: i % routers,
			script: script{Name: fmt.Sprintf("%s %d", name, i), Events: 20, Gap: 50 * time.Millisecond}}
		if i/4%4 == 3 {
			a.kind += " without an event"
			a.Prompt, a.Events = 700*time.Millisecond, 6
		}
		out = append(out, a)
	}
	for i := range 4 {
		path := []string{"pay", "look"}[i%2]
		out = append(out, &asked{kind: path, path: "/" + path + "/", router: i % routers,
			script: script{Name: fmt.Sprintf("%s call %d", name, i), Prompt: 700 * time.Millisecond}})
	}
	return out
}

// Guards against a change of the configuration that ends what runs when it arrives, while all back ends are
// silent.
func TestAnswersSurviveChangesBesideSilence(t *testing.T) {
	const routers = 2
	for group, changes := range silenceChanges {
		t.Run(group, func(t *testing.T) {
			t.Parallel()
			s := newSilenceTrial(t, &deployment{relays: true}, routers, changeEngines, changeSlots)
			s.host("spare")
			for _, c := range changes {
				t.Run(c.name, func(t *testing.T) {
					ended := s.endedByRouters()
					requests := changeRequests(c.name, routers)
					answers := s.begin(requests)
					time.Sleep(100 * time.Millisecond)
					resume := pauseAll(s.engines("llm", "app"))
					silent, over := context.WithTimeout(t.Context(), silenceTime)
					defer over()
					time.Sleep(changeDelay)
					if c.sent != nil {
						c.sent(s)
					} else {
						s.configureTable(s.changed(c.change))
					}
					<-silent.Done()
					resume()
					answers.Wait()
					s.check(t, requests)
					assert.Check(t, s.endedByRouters() == ended, "%d answers ended by routers", s.endedByRouters()-ended)
					if c.name != changes[len(changes)-1].name {
						s.restore()
					}
				})
			}
		})
	}
}
