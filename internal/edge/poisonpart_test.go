package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxCrashes is the number of engines that a part of prompts may crash.
const maxCrashes = 5

// minServedShare is the share of sound requests that must be served, relative to those that have nothing
// in common with requests that crash engines.
const minServedShare = 0.95

// crashes reports whether a prompt crashes the engine that answers on it. The last part is the
// request's own.
func (d *deployment) crashes(prefix string) bool {
	parts := strings.Split(prefix, ",")
	var shared []string
	for _, part := range parts[:len(parts)-1] {
		name, _, _ := strings.Cut(part, ":")
		shared = append(shared, name)
	}
	d.mu.Lock()
	crashesOn := d.crashesOn
	d.mu.Unlock()
	if crashesOn != nil {
		return crashesOn(shared)
	}
	return slices.Contains(shared, crashingPart)
}

func (d *deployment) setCrashesOn(crashesOn func(shared []string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashesOn = crashesOn
}

// crashLater sends crashEvents events and crashes the engine.
func (e *engine) crashLater(w http.ResponseWriter, r *http.Request) {
	for i := range e.host.deployment.crashEvents {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(15 * time.Millisecond)
	}
	e.crash(r, "")
}

// prompt returns the header of a prompt with shared parts and a last part that no other has.
func (d *deployment) prompt(shared ...string) string {
	var text strings.Builder
	for _, part := range shared {
		text.WriteString(part + ":20,")
	}
	return fmt.Sprintf("%sown%d:10", text.String(), d.requests.Add(1))
}

// ask sends a request that no other is like, with shared parts in its prompt.
func (d *deployment) ask(frontend int, path string, shared ...string) result {
	return d.sendPrompt(d.callerTimeout, frontend, "ka", path, fmt.Sprintf("body %d", d.requests.Add(1)), d.prompt(shared...))
}

// soundTraffic is requests of callers whose prompts crash no engine, until stop is called. Requests
// from mark on are counted.
type soundTraffic struct {
	group           sync.WaitGroup
	marked, done    atomic.Bool
	served, counted atomic.Int64
}

func (s *soundTraffic) mark() { s.marked.Store(true) }

// stop returns the share of the counted requests that were served.
func (s *soundTraffic) stop() float64 {
	s.done.Store(true)
	s.group.Wait()
	return float64(s.served.Load()) / float64(max(s.counted.Load(), 1))
}

// startSoundTraffic starts one caller for each list of shared parts.
func (d *deployment) startSoundTraffic(prompts ...[]string) *soundTraffic {
	s := &soundTraffic{}
	for i, shared := range prompts {
		s.group.Go(func() {
			for n := i; !s.done.Load(); n++ {
				marked := s.marked.Load()
				got := d.ask(n%len(d.frontend), "/chat/", shared...)
				if marked {
					s.counted.Add(1)
				}
				if marked && got.status == http.StatusOK && got.complete {
					s.served.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return s
}

// sendCrashing sends requests whose prompts crash engines, no two alike and each at the next router,
// until count engines have crashed or the limit of requests is reached.
func (d *deployment) sendCrashing(requests int, pause time.Duration, shared func(i int) []string) (rejected int) {
	for i := range requests {
		got := d.ask(i%len(d.frontend), "/chat/", shared(i)...)
		if got.status == http.StatusBadGateway && got.header.Get("Retry-After") != "" {
			rejected++
		}
		time.Sleep(pause)
	}
	return rejected
}

// Requests with one part in their prompts, no two alike, must not crash engine after engine, wherever
// the part stands; and what shares their other parts is served.
func TestPromptPartThatCrashesEnginesIsBlocked(t *testing.T) {
	for name, shared := range map[string]func(i int) []string{
		"last shared part": func(int) []string { return []string{"system", "team", crashingPart} },
		"first":            func(i int) []string { return []string{crashingPart, "team", fmt.Sprint("session", i)} },
		"in the middle":    func(i int) []string { return []string{"system", crashingPart, fmt.Sprint("document", i%3)} },
		"changing others":  func(i int) []string { return []string{fmt.Sprint("a", i), crashingPart, fmt.Sprint("b", i)} },
	} {
		for _, events := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s after %d events", name, events), func(t *testing.T) {
				d := newDeployment(t, 3, 3, 12)
				d.crashEvents = events
				sharing := d.startSoundTraffic([]string{"system", "team"}, []string{"system", "team", "sound"}, []string{"system"}, []string{"team"}, []string{"document0"})
				others := d.startSoundTraffic([]string{"other"}, []string{"another", "one"})
				time.Sleep(300 * time.Millisecond)
				d.sendCrashing(maxCrashes+2, 150*time.Millisecond, shared)
				time.Sleep(500 * time.Millisecond)
				sharing.mark()
				others.mark()
				crashed := d.crashCount()
				rejected := d.sendCrashing(10, 50*time.Millisecond, shared)
				served, servedOthers := sharing.stop(), others.stop()
				t.Logf("%d engines crashed; %.3f and %.3f of the sound requests were served", crashed, served, servedOthers)
				assert.Equal(t, d.crashCount(), crashed, "requests with the part reached engines again")
				assert.Assert(t, crashed <= maxCrashes, "%d engines have crashed", crashed)
				assert.Equal(t, rejected, 10)
				assert.Assert(t, served >= minServedShare*servedOthers, "%.2f of the requests that share other parts were served, %.2f of the others", served, servedOthers)
			})
		}
	}
}
