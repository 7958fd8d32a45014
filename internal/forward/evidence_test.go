package forward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/reachability"
	"quinceridge.example/quinceridge/internal/state"
)

// observer records reports, and blocks all requests if blocks is set.
type observer struct {
	mu       sync.Mutex
	seen     []poison.FailedAttempt
	answered []poison.Digest
	blocks   bool
	// parts are those of the last answered request. blockedParts are blocked together, from the
	// blockedFrom-th question on.
	parts                  []poison.Digest
	blockedParts           []poison.Digest
	questions, blockedFrom int
	// trial is set while the leader lets a request through under the block.
	trial bool
}

func (w *observer) MayTry(poison.Digest, func() []poison.Digest) bool { return w.trial }

func (w *observer) Blocked(d poison.Digest, parts func() []poison.Digest) (state.BlockedRequest, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.questions++; len(w.blockedParts) > 0 && w.questions >= w.blockedFrom {
		var x poison.Index
		x.Add(0, 1, w.blockedParts)
		_, found := x.Find(d, parts)
		return state.BlockedRequest{Request: 1, Parts: w.blockedParts, Backends: []string{"a", "b", "c"}, Revision: 9}, found
	}
	return state.BlockedRequest{Request: d, Backends: []string{"a", "b", "c"}, Revision: 9}, w.blocks
}

func (w *observer) RecordFailure(e poison.FailedAttempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen = append(w.seen, e)
}

func (w *observer) RecordSuccess(d poison.Digest, parts []poison.Digest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.parts = parts
	w.answered = append(w.answered, d)
}

func (w *observer) await(t *testing.T, count int) []poison.FailedAttempt {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.seen) < count {
			return poll.Continue("%d attempts are known", len(w.seen))
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seen
}

func newObserved(t *testing.T) (*rig, *observer) {
	r, w := newRig(t), &observer{}
	r.handler.config.Observer = w
	return r, w
}

func TestBlockedRequestIsRefusedWithoutAttempt(t *testing.T) {
	r, w := newObserved(t)
	w.blocks = true
	r.add("app", "x", good)
	r.add("llm", "y", good)
	for _, path := range []string{"/safe/1", "/unsafe/1", "/chat/1", "/resumable/1"} {
		got := r.ask("POST", path, nil)
		assert.Equal(t, got.status, http.StatusBadGateway, path)
		assert.Equal(t, got.header.Get("Retry-After"), "600.00")
		assert.Assert(t, got.body != "")
		assert.Equal(t, got.header.Get(names.Signature), "")
	}
	assert.Equal(t, r.ran("x", "y"), 0)
}

// A back end that has ended refuses connections, while one that only broke a response off
// accepts them. The probe's connection serves the next request.
func TestBrokenAttemptProbesBackend(t *testing.T) {
	r, w := newObserved(t)
	r.add("app", "lives", dropConnection)
	r.ask("POST", "/unsafe/1", nil)
	seen := w.await(t, 1)
	assert.Equal(t, seen[0].Backend, "lives")
	assert.Assert(t, !seen[0].Down)
	assert.Assert(t, seen[0].Request != 0)
	r.handler.Wait()
	opened := r.handler.config.Upstream.Opened.Load()
	r.ask("POST", "/unsafe/1", nil)
	r.handler.Wait()
	assert.Equal(t, r.handler.config.Upstream.Opened.Load(), opened+1, "the probe's connection was not reused")

	r, w = newObserved(t)
	var once sync.Once
	r.add("app", "ends", func(http.ResponseWriter, *http.Request) {
		once.Do(func() { go r.closeBackends() })
		select {}
	})
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() { r.ask("POST", "/unsafe/1", nil) })
	}
	group.Wait()
	for _, e := range w.await(t, 1) {
		assert.Assert(t, e.Down)
	}
}

// Disconnected clients, deadlines and cancelled attempts are no evidence, unless the back end
// was silent for minSilence.
func TestCancelledAttemptIsNoEvidence(t *testing.T) {
	r, w := newObserved(t)
	r.add("app", "slow", func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() })
	leave := func(after time.Duration) {
		ctx, cancel := context.WithTimeout(t.Context(), after)
		defer cancel()
		r.ask("POST", "/unsafe/1", func(q *http.Request) { *q = *q.WithContext(ctx) })
	}
	leave(100 * time.Millisecond)
	assert.Equal(t, r.ask("POST", "/unsafe/1", nil).status, http.StatusGatewayTimeout)
	r.source.table.Route("h", "/unsafe/1").Timeout = 5 * time.Second
	leave(minSilence + 200*time.Millisecond)
	seen := w.await(t, 1)
	assert.Equal(t, len(seen), 1)
	assert.Assert(t, seen[0].Silent)
	assert.Assert(t, seen[0].Duration >= minSilence)
}

func TestCompleteResponseIsReported(t *testing.T) {
	r, w := newObserved(t)
	r.add("app", "x", good)
	r.add("llm", "y", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 3) })
	assert.Equal(t, r.ask("POST", "/unsafe/1", nil).status, 200)
	assert.Equal(t, r.ask("POST", "/chat/1", nil).status, 200)
	w.mu.Lock()
	assert.Equal(t, len(w.answered), 2)
	w.mu.Unlock()
	// A response that ends with its connection is complete if its back end has not ended.
	r.add("app", "z", func(w http.ResponseWriter, q *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+names.RequestID+": "+q.Header.Get(names.RequestID)+"\r\n"+names.Signature+": s\r\n\r\nhalf")
		_ = conn.Close()
	})
	r.pool.Apply(nil, []string{"x"}, false)
	assert.Equal(t, r.ask("POST", "/unsafe/1", nil).status, 200)
	r.finish()
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.answered), 3)
	assert.Equal(t, len(w.seen), 0)
}

// Attempts that were rejected or never reached the back end have not run.
func TestRejectedAttemptIsNoEvidence(t *testing.T) {
	r, w := newObserved(t)
	r.add("app", "full", reject)
	assert.Equal(t, r.ask("POST", "/unsafe/1", nil).status, http.StatusServiceUnavailable)
	r.closeBackends()
	r.ask("POST", "/unsafe/1", nil)
	r.handler.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.seen), 0)
	assert.Equal(t, len(w.answered), 0)
}

// A request that ends all back ends of a pool makes the path to it look lost. Its failures must still
// be reported, as ones of which heartbeats tell whether the back end has ended: a router that was cut off
// sees the same.
func TestFailureOverLostPathIsReportedAsUnsure(t *testing.T) {
	r, w := newObserved(t)
	r.handler.config.Paths = reachability.NewDetector()
	r.add("app", "a", func(response http.ResponseWriter, q *http.Request) {
		r.losePath("app")
		r.closeBackends()
		dropConnection(response, q)
	})
	assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusBadGateway)
	seen := w.await(t, 1)
	assert.Equal(t, seen[0].Backend, "a")
	assert.Assert(t, !seen[0].Down && !seen[0].Silent, "%+v", seen[0])
}

// setPrompt sets the parts of a prompt; the last one is the request's own.
func setPrompt(text string) func(*http.Request) {
	return func(q *http.Request) { q.Header.Set(names.Prefix, text) }
}

func TestRequestWithBlockedPartsIsRefusedWithoutAttempt(t *testing.T) {
	r, w := newObserved(t)
	r.add("llm", "x", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 3) })
	w.blockedParts = []poison.Digest{poison.PartDigest("", "bad"), poison.PartDigest("", "worse")}
	slices.Sort(w.blockedParts)
	for _, path := range []string{"/chat/1", "/resumable/1"} {
		got := r.ask("POST", path, setPrompt("system:10,worse:5,bad:20,own:3"))
		assert.Equal(t, got.status, http.StatusBadGateway, path)
		assert.Equal(t, got.header.Get("Retry-After"), "600.00")
		assert.Assert(t, strings.Contains(got.body, `"worse", "bad"`) && !strings.Contains(got.body, "system"), got.body)
		assert.Equal(t, got.header.Get(names.Signature), "")
	}
	assert.Equal(t, r.ran("x"), 0)
	for _, prompt := range []string{"system:10,bad:20,own:3", "system:10,worse:1,bad:20", "", "bad,worse", ",,"} {
		assert.Equal(t, r.ask("POST", "/chat/1", setPrompt(prompt)).status, http.StatusOK, prompt)
	}
	assert.Equal(t, r.handler.metrics.refusedBlockedParts.Load(), uint64(2))
	assert.Equal(t, r.handler.metrics.refusedBlocked.Load(), uint64(0))
}

// A request for which an engine has been chosen is not sent if its parts were blocked meanwhile.
func TestRequestBlockedWhileItWaitedIsNotSent(t *testing.T) {
	r, w := newObserved(t)
	r.add("llm", "x", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 3) })
	w.blockedParts, w.blockedFrom = []poison.Digest{poison.PartDigest("", "bad")}, 2
	assert.Equal(t, r.ask("POST", "/chat/1", setPrompt("bad:20,own:3")).status, http.StatusBadGateway)
	assert.Equal(t, r.ran("x"), 0)
}

// Only complete answers of engines show that parts are harmless: failures and plain back ends do not.
func TestAnsweredPartsAreReported(t *testing.T) {
	r, w := newObserved(t)
	var fails atomic.Bool
	r.add("llm", "x", func(w http.ResponseWriter, _ *http.Request) {
		if fails.Load() {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		events(w, 1, 3)
	})
	parts := func() []poison.Digest {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.parts
	}
	assert.Equal(t, r.ask("POST", "/chat/1", setPrompt("system:10,team:5,system:10,own:3")).status, http.StatusOK)
	assert.DeepEqual(t, parts(), []poison.Digest{poison.PartDigest("", "system"), poison.PartDigest("", "team")})
	fails.Store(true)
	assert.Equal(t, r.ask("POST", "/chat/1", setPrompt("other:10,own:3")).status, http.StatusInternalServerError)
	assert.Equal(t, len(parts()), 0)
	r.add("app", "y", good)
	assert.Equal(t, r.ask("POST", "/unsafe/1", setPrompt("other:10,own:3")).status, http.StatusOK)
	assert.Equal(t, len(parts()), 0)
}

func TestFailedAttemptNamesPartsOfPrompt(t *testing.T) {
	r, w := newObserved(t)
	r.add("llm", "x", dropConnection)
	r.ask("POST", "/chat/1", setPrompt("system:10,team:5,own:3"))
	assert.DeepEqual(t, w.await(t, 1)[0].Parts, []poison.Digest{poison.PartDigest("", "system"), poison.PartDigest("", "team")})
}

// A request under a block in trial is sent only if the leader has placed it, and is refused as blocked
// otherwise, without an attempt.
func TestBlockedRequestIsSentForTrialOnlyIfLeaderPlacesIt(t *testing.T) {
	for name, c := range map[string]struct {
		trial, placed, answered bool
		status                  int
	}{
		"placed":                       {true, true, true, http.StatusOK},
		"another one has the trial":    {true, false, true, http.StatusBadGateway},
		"no leader":                    {true, false, false, http.StatusBadGateway},
		"no trial although it is sent": {false, true, true, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			r, choice := newQueueRig(t, oneEvent)
			w := &observer{blocks: true, trial: c.trial}
			r.handler.config.Observer = w
			asked := 0
			r.handler.config.Placer = &trialPlacer{place: func(q *backends.Query) (backends.Choice, bool, bool) {
				asked++
				assert.Assert(t, q.Trial != 0 && !q.Queueing.Wait)
				if !c.placed {
					return backends.Choice{Blocked: []string{"a"}}, c.answered, c.answered
				}
				return choice, true, c.answered
			}}
			got := r.askChat()
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, r.ran("e"), map[int]int{http.StatusOK: 1, http.StatusBadGateway: 0}[c.status])
			assert.Assert(t, asked <= 1)
			assert.Equal(t, asked == 1, c.trial)
		})
	}
}

// trialPlacer is a Placer with a scripted reply.
type trialPlacer struct {
	queueingPlacer
	place func(q *backends.Query) (choice backends.Choice, found, answered bool)
}

func (p *trialPlacer) Place(_ context.Context, q *backends.Query) (choice backends.Choice, found, answered bool) {
	return p.place(q)
}

// While the path to a pool is being checked it is not known whether a refused connection is the back end's.
// The failure must be reported all the same, and again once the path is known.
func TestFailureIsReportedWhilePathIsChecked(t *testing.T) {
	r, w := newObserved(t)
	paths := reachability.NewDetector()
	r.handler.config.Paths = paths
	r.pool.SetPaths(paths)
	r.add("app", "a", func(response http.ResponseWriter, q *http.Request) {
		paths.Failed(time.Hour, time.Hour, "app")
		r.closeBackends()
		dropConnection(response, q)
	})
	go r.ask("POST", "/unsafe/x", nil)
	seen := w.await(t, 1)
	assert.Assert(t, !seen[0].Down)
	paths.Checked(time.Hour, "app", reachability.Result{Tried: reachability.CheckSize, Reached: 1})
	seen = w.await(t, 2)
	assert.Assert(t, seen[1].Down)
	assert.Equal(t, seen[1].Backend, seen[0].Backend)
	assert.Equal(t, seen[1].Request, seen[0].Request)
	r.handler.Wait()
	assert.Equal(t, len(w.await(t, 2)), 2)
	assert.Assert(t, seen[1].Age >= seen[0].Age)
}
