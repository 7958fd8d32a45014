package hedging

import (
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/liveness"
)

// stream is a request of a caller at its router.
type stream struct {
	play   *play
	router *router
	prompt int
	// asked is set once the router has asked for a first place, in which number stands for it.
	asked  bool
	number uint64
	// seen is the number of events that the caller has got, and lastAt the time of the last one, or of the
	// arrival.
	seen    int
	lastAt  time.Duration
	outcome outcome
	isLate  bool
	// present is the attempt whose events the caller gets, and hedge a further one beside it. seeking is
	// set while the leader is asked for a place for one.
	present, hedge *attempt
	seeking        bool
	attempts       []*attempt
	// vain are the engines of hedges that the present attempt has outrun, and hedges counts all hedges.
	vain   []string
	hedges int
	// granted is set while the retry budget has granted an attempt that was not begun, and retryAt is when
	// it may be asked again under the rule before.
	granted bool
	retryAt time.Duration
	// ran counts the attempts before the present one.
	ran int
	// met is set if the stream met a silence, and stopped if its engine stopped for good. moved is how long
	// its caller had waited then until the stream went on elsewhere.
	met, stopped bool
	moved        time.Duration
}

func (s *stream) arrive() {
	r := s.router
	s.asked, s.met = true, s.play.allSilent()
	s.play.requests++
	r.number++
	s.number = r.number
	r.streams[s.number] = s
	s.leave()
	ask := &coordapi.Place{Number: s.number, Own: s.prompt, Queueing: coordapi.Queueing{Wait: true, Account: "t", Abandon: patience, Deadline: 3 * patience}}
	r.place(ask, func(placed coordapi.Placed) { r.placed(s.number, placed) })
}

// leave ends the stream once its caller has got no event for patience.
func (s *stream) leave() {
	s.play.At(s.lastAt+patience, func() {
		switch {
		case s.outcome != open:
		case s.play.Now()-s.lastAt >= patience:
			s.finish(left)
		default:
			s.leave()
		}
	})
}

// begin sends the request to an engine, which goes on after the last event that the caller has got.
func (s *stream) begin(number uint64, id string) *attempt {
	now := s.play.Now()
	a := &attempt{stream: s, engine: s.play.engines[id], number: number, sentAt: now, next: s.seen + 1}
	s.attempts = append(s.attempts, a)
	if runs := len(s.open()); runs > maxAttempts {
		s.play.faultf("%d runs of a stream", runs)
	}
	a.tracked = s.router.Add(now, id, target, func(*liveness.Stream) { s.router.overdue = append(s.router.overdue, a) })
	s.play.After(hop, func() {
		if !a.closed {
			a.engine.receive(a)
		}
	})
	return a
}

// open returns the attempts that are open at the router.
func (s *stream) open() []*attempt {
	return slices.DeleteFunc(slices.Clone(s.attempts), func(a *attempt) bool { return a.closed })
}

// finish ends the stream and what is open of it.
func (s *stream) finish(o outcome) {
	s.outcome = o
	for _, a := range s.open() {
		a.close()
	}
	if s.router.streams[s.number] == s {
		delete(s.router.streams, s.number)
		s.router.reports.Ended = append(s.router.reports.Ended, s.number)
	}
}

// end ends the stream by a decision of its router. No engine that has run it may go on before its caller
// leaves.
func (s *stream) end() {
	for _, a := range s.attempts {
		a.checkGone()
	}
	if s.seen > 0 {
		s.finish(cut)
		return
	}
	s.finish(failed)
}

// forward forwards an event to the caller. A hedge with an event replaces the silent attempt, and a silent
// attempt that goes on ends its hedge.
func (s *stream) forward(a *attempt, id int) {
	now, p := s.play.Now(), s.play
	switch {
	case a == s.hedge:
		s.present.close()
		s.present, s.hedge = a, nil
		s.ran++
	case s.hedge != nil:
		s.hedge.close()
		s.vain = append(s.vain, s.hedge.engine.id)
		s.hedge = nil
		p.inVain++
	}
	s.seeking = false
	if id != s.seen+1 {
		p.faultf("event %d after event %d", id, s.seen)
	}
	limit := gapTarget
	if s.seen == 0 {
		limit = target
	}
	s.isLate = s.isLate || now-s.lastAt > limit
	if s.ran > 0 && s.stopped && s.moved == 0 {
		s.moved = now - max(s.lastAt, s.attempts[0].sentAt)
	}
	s.seen, s.lastAt = id, now
	if id < streamEvents {
		return
	}
	if s.isLate {
		s.finish(late)
		return
	}
	s.finish(inTime)
}

// overdue is called at each check while the next event of an attempt is overdue.
func (s *stream) overdue(a *attempt) {
	now := s.play.Now()
	listed := slices.Contains(s.router.notes.Unresponsive, a.engine.id)
	lost := a.engine.removed || (listed && slices.Contains(s.router.notes.Silent, a.engine.id))
	silence := a.tracked.Silence(now)
	if s.play.rule == before {
		s.overdueBefore(a, s.ran+1 < maxAttempts && a == s.present, listed || lost || silence > watchdogTime, lost)
		return
	}
	mayHedge := a == s.present && s.hedges < maxHedges && (len(s.vain) > 0 || s.ran+1 < maxAttempts)
	action := Decide(State{Listed: listed, Lost: lost, Silence: silence, Limit: patience})
	if action == Wait && silence > watchdogTime {
		action = Hedge
	}
	switch {
	case action == End:
		s.endAttempt(a)
	case action == Hedge && mayHedge && s.hedge == nil && !s.seeking && a.backoff.Ready(now):
		s.seekHedge(a, !listed && !lost)
	}
}

// endAttempt ends an attempt from which nothing more can arrive, and the stream with the last one.
func (s *stream) endAttempt(a *attempt) {
	a.checkGone()
	switch {
	case a == s.hedge:
		s.hedge = nil
		a.close()
		s.present.backoff.Failed(s.play.Now())
	case s.hedge != nil:
		a.close()
		s.present, s.hedge = s.hedge, nil
		s.ran++
	default:
		s.end()
	}
}

// checkGone checks that the engine of an attempt that is given up does not go on before the caller leaves.
func (a *attempt) checkGone() {
	if e, s := a.engine, a.stream; e.silentUntil < s.lastAt+patience {
		s.play.faultf("%s is given up, which goes on at %v, before %v", e.id, e.silentUntil, s.lastAt+patience)
	}
}

// grant reports whether the retry budget allows a further attempt.
func (s *stream) grant() bool {
	p := s.play
	if !s.granted && (p.unbounded || float64(p.spent+1) <= budgetShare*float64(p.requests)+budgetBurst) {
		p.spent++
		s.granted = true
	}
	return s.granted
}

// further asks for a place for a further attempt and calls then with it, or with nil.
func (s *stream) further(ask *coordapi.Place, wanted func() bool, then func(*attempt)) {
	s.router.number++
	number := s.router.number
	ask.Number, ask.Own, ask.Queueing = number, s.prompt, coordapi.Queueing{Started: 1}
	for _, a := range s.attempts {
		if !slices.Contains(s.vain, a.engine.id) {
			ask.Tried = append(ask.Tried, a.engine.id)
		}
	}
	s.router.place(ask, func(placed coordapi.Placed) {
		found := placed.ID != "" && !placed.Late && placed.Reason == ""
		sent := found && wanted() && s.grant()
		switch {
		case sent:
			s.granted = false
			s.play.begun++
			then(s.begin(number, placed.ID))
			return
		case found:
			s.router.reports.Ended = append(s.router.reports.Ended, number)
		}
		if wanted() {
			then(nil)
		}
	})
}

// seekHedge looks for a further attempt beside a silent one. Engines that have run the stream in vain are
// the only ones once others would exceed the attempts.
func (s *stream) seekHedge(a *attempt, roomOnly bool) {
	s.seeking = true
	ask := &coordapi.Place{Responsive: true, RoomOnly: roomOnly}
	if s.ran+1+len(s.vain) >= maxAttempts {
		ask.Among = slices.Clone(s.vain)
	}
	s.further(ask, func() bool { return s.outcome == open && s.seeking }, func(hedge *attempt) {
		s.seeking = false
		if hedge == nil {
			a.backoff.Failed(s.play.Now())
			return
		}
		s.hedges++
		s.vain = slices.DeleteFunc(s.vain, func(id string) bool { return id == hedge.engine.id })
		s.hedge = hedge
	})
}

// overdueBefore is the rule before: an attempt is cancelled, and then another place is asked for.
func (s *stream) overdueBefore(a *attempt, mayRetry, silent, lost bool) {
	now := s.play.Now()
	switch {
	case !mayRetry && lost:
		s.end()
	case mayRetry && silent && now >= s.retryAt:
		if s.retryAt = now + recheckTime; !s.grant() {
			return
		}
		a.close()
		s.present = nil
		s.ran++
		s.further(&coordapi.Place{}, func() bool { return s.outcome == open }, func(next *attempt) {
			if s.present = next; next == nil {
				s.end()
			}
		})
	}
}
