package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Report is what a soak found. Broken lists each broken promise; a run without
// any passed.
type Report struct {
	Seed    uint64 `json:"seed"`
	Calls   int    `json:"calls"`
	Served  int    `json:"served"`
	Refused int    `json:"refused"`
	Runs    int    `json:"runs"`
	// Outcomes counts calls by kind and status; status 0 is no answer, and a
	// star an answer that was cut.
	Outcomes map[string]int `json:"outcomes"`
	Faults   map[string]int `json:"faults"`
	// Configurations counts the acknowledged ones.
	Configurations int `json:"configurations"`
	// Poisons counts the requests that end back ends, Ends the back ends that ended under
	// them and Blocked the tries that reached none.
	Poisons int `json:"poisons"`
	Ends    int `json:"ends"`
	Blocked int `json:"blocked"`
	// Replaced counts the programs whose build was replaced by another.
	Replaced int      `json:"replaced,omitempty"`
	Broken   []string `json:"broken,omitempty"`
}

// results are the calls of all callers.
type results struct {
	mu    sync.Mutex
	calls []*call
}

func (r *results) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// slack covers the way between the moment that is judged and the moment that
// the check can see.
const slack = 700 * time.Millisecond

func (s *Soak) breach(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Broken = append(s.report.Broken, fmt.Sprintf(format, arguments...))
}

// arrived checks that a draining back end gets nothing new from a router that was not
// itself at fault within the last contact: one that thaws may send on what it had
// taken before it knows anything newer.
func (s *Soak) arrived(b *backend, id string) {
	at := b.drainedAt.Load()
	if at == 0 || s.now() <= time.Duration(at)+drainBinds+slack {
		return
	}
	router, _ := s.asked.Load(id)
	if name, known := router.(string); known && s.disturbed(s.now(), func(d *disturbance) bool { return d.router == name }) {
		return
	}
	s.breach("%v: %s got a request by %v %v after its drain was acknowledged", s.now(), b.id, router, s.now()-time.Duration(at))
}

// note checks that a fence has one holder.
func (s *Soak) note(fence uint64, holder string) {
	s.mu.Lock()
	other, known := s.holders[fence]
	s.holders[fence] = holder
	s.mu.Unlock()
	if known && other != holder {
		s.breach("fence %d was used by %s and by %s", fence, other, holder)
	}
}

// check judges the whole run.
func (s *Soak) check(ctx context.Context) {
	s.checkConfiguration(ctx)
	s.ledger.mu.Lock()
	runs := make(map[string][]run, len(s.ledger.runs))
	for _, r := range s.ledger.runs {
		runs[r.id] = append(runs[r.id], r)
	}
	s.report.Runs = len(s.ledger.runs)
	s.ledger.mu.Unlock()
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	for _, c := range s.results.calls {
		s.checkCall(c, runs[c.id])
	}
	s.checkPoison(s.results.calls, runs)
	s.report.Calls = len(s.results.calls)
	if s.report.Served*2 < s.report.Calls {
		s.breach("only %d of %d calls were served", s.report.Served, s.report.Calls)
	}
}

// checkConfiguration reads back what was acknowledged last.
func (s *Soak) checkConfiguration(ctx context.Context) {
	s.mu.Lock()
	s.report.Configurations = len(s.acked)
	newest := s.acked[len(s.acked)-1]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for ctx.Err() == nil {
		for _, p := range s.coordinators {
			status, body := s.controlAt(ctx, p.listen, http.MethodGet, "/v1/configuration", nil)
			if status != http.StatusOK {
				continue
			}
			// One more may have been taken without a clear answer.
			if string(body) != string(documentOf(newest.version)) && string(body) != string(documentOf(newest.version+1)) {
				s.breach("version %d was acknowledged and %.40s is read back", newest.version, body)
			}
			return
		}
		wait(ctx, 100*time.Millisecond)
	}
	s.breach("no configuration can be read back; version %d was acknowledged", newest.version)
}

func (s *Soak) checkCall(c *call, runs []run) {
	repeatable := c.kind == "safe" || c.kind == "stream"
	if len(runs) > 1 && !repeatable {
		s.breach("%s %s ran %d times", c.kind, c.id, len(runs))
	}
	if c.refused && len(runs) > 0 && !repeatable {
		s.breach("%s %s was refused as not run and ran at %s", c.kind, c.id, runs[0].backend)
	}
	for _, r := range runs {
		if r.tenant != "tenant" {
			s.breach("%s ran for tenant %q", c.id, r.tenant)
		}
	}
	s.checkKey(c, runs)
	outcome := fmt.Sprintf("%s %d", c.kind, c.status)
	if c.status != 0 && !c.whole {
		outcome += "*"
	}
	s.report.Outcomes[outcome]++
	switch {
	case c.refused:
		s.report.Refused++
	case c.status == http.StatusOK && c.whole:
		s.report.Served++
		s.checkAnswer(c)
	}
}

// checkKey checks that a key that was taken away is not served any more.
func (s *Soak) checkKey(c *call, runs []run) {
	if len(runs) == 0 {
		return
	}
	for _, a := range s.acked {
		if !slices.Contains(a.keys, c.key) && a.version > keyNumber(c.key) && c.sent > a.at+revocation+slack {
			s.breach("%s ran with %s, %v after version %d had taken it away", c.id, c.key, c.sent-a.at, a.version)
			return
		}
	}
}

func keyNumber(key string) uint64 {
	var number uint64
	_, _ = fmt.Sscanf(key, "key-%d", &number)
	return number
}

// checkAnswer compares a whole answer with the right one.
func (s *Soak) checkAnswer(c *call) {
	wanted := string(answerOf(c.id, []byte("body of "+c.id)))
	if c.kind == "stream" || c.kind == "chat" {
		var text strings.Builder
		for i := 1; i <= streamEvents; i++ {
			text.WriteString(eventOf(c.id, i))
		}
		wanted = text.String()
	}
	if c.body != wanted || c.seal != sealOf(c.id) {
		s.breach("%s %s got a wrong answer: seal %q, %.60q", c.kind, c.id, c.seal, c.body)
	}
}
