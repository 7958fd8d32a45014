package cachemiss

import (
	"cmp"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// Cause is why an engine processed a shared part.
type Cause int

const (
	// FirstRead: no engine had processed the part before. It is not processed again.
	FirstRead Cause = iota
	// Evicted: the engine that held it had evicted it.
	Evicted
	// NewVersion: engines had processed it only for other versions of the weights.
	NewVersion
	// CopyHolderFull: another engine held it and had no capacity for the request.
	CopyHolderFull
	// CopyHolderFree: another engine held it and had capacity.
	CopyHolderFree
	// CopyUnrecorded: another engine held it, which the leader had not recorded or no longer
	// assumed, or the router chose without the leader.
	CopyUnrecorded
	// HolderLost: the engine that held it had left, was loading weights or did not respond.
	HolderLost
	// Herd: another request was processing or saving it, and no engine had it yet.
	Herd
	// StoreMiss: it was saved to the store from which the engine was to fetch it, but was not there.
	StoreMiss
	// Unknown: none of the others.
	Unknown
	causes
)

var causeNames = [causes]string{"first read (not again)", "evicted at the engine that held it", "first read of a new weights version", "copy: the holder had no capacity",
	"copy: the holder had capacity", "copy: the holder was not recorded", "the holder was out of service", "concurrent reads (herd)", "store miss", "unknown"}

func (c Cause) String() string { return causeNames[c] }

// Count is a number of parts and of their tokens. A part of which an engine processed some tokens
// counts as one.
type Count struct{ Parts, Tokens int }

func (c *Count) add(tokens int) {
	c.Parts++
	c.Tokens += tokens
}

// Result is the result of a Replay.
type Result struct {
	Causes [causes]Count
	// Again are the parts that were processed again, counted apart from their causes.
	Again Count
	// Shared is the number of shared tokens of all prompts that engines answered.
	Shared int
	// Attempts is the number of these prompts, and Reported that of those whose engine reported the
	// cached tokens. For the others they are estimated.
	Attempts, Reported int
}

// outputDivisor divides the maximum output of a request to give the memory that it is assumed to
// take: most outputs end before their maximum. The leader estimates memory by the same ratio.
const outputDivisor = 2

// partKey identifies a shared part under a version of a model.
type partKey struct {
	hash    coordapi.PartHash
	model   string
	version int
}

// resident is a block of an engine's memory or of a store.
type resident struct {
	tokens int
	// users is the number of running requests that use it.
	users  int
	usedAt time.Duration
	// order is the order in which the engine stored its blocks.
	order int
}

// evictedBefore reports whether an engine evicts p before other: the block used least recently, and
// of a prompt's the last one, since a part is only useful together with those before it.
func (p *resident) evictedBefore(other *resident) bool {
	return cmp.Or(cmp.Compare(p.usedAt, other.usedAt), cmp.Compare(other.order, p.order)) < 0
}

// engine is the estimated state of an engine.
type engine struct {
	parts map[partKey]*resident
	// own holds the other tokens of prompts and the outputs by attempt.
	own      map[*Attempt]*resident
	versions map[string]int
	capacity int
	tokens   int
	// stored is the number of blocks stored so far.
	stored int
}

// history is what is known about a part under one version.
type history struct {
	// readers are the engines that have processed or fetched it, except for those that have left.
	// read is set once there was one, and lost once one has left.
	readers    map[string]bool
	read, lost bool
	// reading is the number of attempts that are processing it, by engine.
	reading map[string]int
	// saving is the number of attempts in progress that will have saved it, and saved is set once one
	// has.
	saving int
	saved  bool
}

// replay reconstructs caches from attempts. An engine evicts the least recently used blocks that no
// running request uses. A prompt whose parts the same engine is processing finds them in its cache,
// since an engine processes prompts in order.
type replay struct {
	engines map[string]*engine
	// addresses maps addresses to the engines last seen there.
	addresses map[string]string
	parts     map[partKey]*history
	// seen is the set of parts processed under any version, with version 0.
	seen     map[partKey]bool
	departed map[string]bool
	result   Result
}

// event is a change of the state of an engine.
type event struct {
	at time.Duration
	do func()
}

// Replay assigns causes to the shared parts that the engines of a log processed. Attempts without a
// response count neither as processed nor as cached: whether the engine processed the prompt is not
// known.
func Replay(log *Log) Result {
	r := &replay{engines: map[string]*engine{}, addresses: map[string]string{}, parts: map[partKey]*history{}, seen: map[partKey]bool{}, departed: map[string]bool{}}
	var events []event
	for i := range log.Attempts {
		a := &log.Attempts[i]
		// Times are in milliseconds. The events of an attempt must stay in order.
		begun := max(a.Begun, a.Sent+1)
		if a.Begun == 0 {
			begun = max(a.Ended, a.Sent+1)
		}
		events = append(events, event{a.Sent, func() { r.sent(a) }}, event{begun, func() { r.begun(a) }}, event{max(a.Ended, begun+1), func() { r.ended(a) }})
	}
	for _, d := range log.Departures {
		events = append(events, event{d.At, func() { r.depart(d.Engine) }})
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for _, e := range events {
		e.do()
	}
	return r.result
}

func (a *Attempt) key(part coordapi.Part) partKey { return partKey{part.Hash, a.Model, a.Version} }

func (r *replay) engine(id string) *engine {
	e := r.engines[id]
	if e == nil {
		e = &engine{parts: map[partKey]*resident{}, own: map[*Attempt]*resident{}, versions: map[string]int{}}
		r.engines[id] = e
	}
	return e
}

func (r *replay) history(key partKey) *history {
	h := r.parts[key]
	if h == nil {
		h = &history{readers: map[string]bool{}, reading: map[string]int{}}
		r.parts[key] = h
	}
	return h
}

// sent counts what the engine must process for a request, and records that it does.
func (r *replay) sent(a *Attempt) {
	e := r.engine(a.Engine)
	delete(r.departed, a.Engine)
	r.addresses[a.Address] = a.Engine
	e.capacity = a.Capacity
	if e.versions[a.Model] < a.Version {
		e.loaded(a.Model, a.Version)
	}
	if a.Begun > 0 {
		r.result.Attempts++
		r.result.Shared += a.shared()
		if a.Cached != NotReported {
			r.result.Reported++
		}
		r.countProcessed(a, e)
	}
	for _, part := range a.Parts {
		h := r.history(a.key(part))
		h.reading[a.Engine]++
		if a.Saves {
			h.saving++
		}
	}
}

// countProcessed assigns causes to the parts of a prompt that the engine processes.
func (r *replay) countProcessed(a *Attempt, e *engine) {
	missing, before := false, 0
	for _, part := range a.Parts {
		key := a.key(part)
		tokens := part.Tokens
		switch {
		case a.Cached != NotReported:
			tokens -= min(max(a.Cached-before, 0), part.Tokens)
		case !missing && (e.parts[key] != nil || r.history(key).reading[a.Engine] > 0 || r.fetched(a, key)):
			tokens = 0
		default:
			// A part is only useful together with those before it.
			missing = true
		}
		before += part.Tokens
		if tokens == 0 {
			continue
		}
		cause := r.cause(a, key)
		r.result.Causes[cause].add(tokens)
		if r.seen[anyVersion(key)] {
			r.result.Again.add(tokens)
		}
	}
	for _, part := range a.Parts {
		r.seen[anyVersion(a.key(part))] = true
	}
}

// anyVersion returns the key of a part irrespective of the version.
func anyVersion(key partKey) partKey { return partKey{hash: key.hash, model: key.model} }

// fetched reports whether the source of an attempt has a part.
func (r *replay) fetched(a *Attempt, key partKey) bool {
	switch {
	case a.Source == "":
		return false
	case a.Stored:
		return r.history(key).saved
	}
	return r.holds(r.addresses[a.Source], key)
}

func (r *replay) holds(id string, key partKey) bool {
	e := r.engines[id]
	return e != nil && !r.departed[id] && e.parts[key] != nil
}

// cause returns why an engine processes a part.
func (r *replay) cause(a *Attempt, key partKey) Cause {
	if !r.seen[anyVersion(key)] {
		return FirstRead
	}
	h := r.history(key)
	reading, held := false, false
	for id, n := range h.reading {
		reading = reading || n > 0 && !r.holds(id, key)
	}
	for id := range h.readers {
		held = held || id != a.Engine && r.holds(id, key)
	}
	switch {
	case !h.read && !reading:
		return NewVersion
	case a.Stored && h.saved:
		return StoreMiss
	case held:
		return a.copyCause(h)
	case reading || (a.Stored && h.saving > 0):
		return Herd
	case len(h.readers) > 0:
		return Evicted
	case h.lost:
		return HolderLost
	}
	return Unknown
}

// copyCause returns why a part that another engine holds is processed.
func (a *Attempt) copyCause(h *history) Cause {
	switch a.Holder {
	case coordapi.HolderFull:
		return CopyHolderFull
	case coordapi.HolderFree:
		return CopyHolderFree
	case coordapi.HolderUnavailable:
		return HolderLost
	case coordapi.HolderChosen:
		if h.readers[a.Engine] {
			return Evicted
		}
		return Unknown
	}
	return CopyUnrecorded
}

// begun records that an engine has processed a prompt.
func (r *replay) begun(a *Attempt) {
	e := r.engine(a.Engine)
	for _, part := range a.Parts {
		h := r.history(a.key(part))
		h.reading[a.Engine]--
		if a.Saves {
			h.saving--
		}
		if a.Begun == 0 || e.versions[a.Model] != a.Version || r.departed[a.Engine] {
			continue
		}
		h.readers[a.Engine], h.read = true, true
		h.saved = h.saved || a.Saves
		e.use(a.key(part), part.Tokens, a.Begun)
	}
	if a.Begun == 0 || r.departed[a.Engine] {
		return
	}
	own := a.Own + max(a.Most-a.Own-a.shared(), 0)/outputDivisor
	e.own[a] = e.store(own)
	e.own[a].users = 1
	e.evict()
}

// ended records that an engine no longer runs a request.
func (r *replay) ended(a *Attempt) {
	e := r.engine(a.Engine)
	own := e.own[a]
	if own == nil {
		return
	}
	own.users, own.usedAt = 0, a.Ended
	for _, part := range a.Parts {
		if p := e.parts[a.key(part)]; p != nil && p.users > 0 {
			p.users--
			p.usedAt = a.Ended
		}
	}
	e.evict()
}

// depart records that an engine's cache is lost.
func (r *replay) depart(id string) {
	r.departed[id] = true
	delete(r.engines, id)
	for _, h := range r.parts {
		if h.readers[id] {
			delete(h.readers, id)
			h.lost = true
		}
	}
}

// loaded removes the parts of other versions of a model.
func (e *engine) loaded(model string, version int) {
	for key, p := range e.parts {
		if key.model == model && key.version != version {
			e.tokens -= p.tokens
			delete(e.parts, key)
		}
	}
	e.versions[model] = version
}

// use records that a request uses a part.
func (e *engine) use(key partKey, tokens int, now time.Duration) {
	p := e.parts[key]
	if p == nil {
		p = e.store(tokens)
		e.parts[key] = p
	}
	p.users++
	p.usedAt = now
}

// store returns a new block.
func (e *engine) store(tokens int) *resident {
	e.tokens += tokens
	e.stored++
	return &resident{tokens: tokens, order: e.stored}
}

// evict removes the blocks used least recently that no request uses, until the others fit.
func (e *engine) evict() {
	for e.capacity > 0 && e.tokens > e.capacity {
		if !e.evictOne() {
			return
		}
	}
}

func (e *engine) evictOne() bool {
	var oldest *resident
	var drop func()
	for key, p := range e.parts {
		if p.users == 0 && (oldest == nil || p.evictedBefore(oldest)) {
			oldest, drop = p, func() { delete(e.parts, key) }
		}
	}
	for a, p := range e.own {
		if p.users == 0 && (oldest == nil || p.evictedBefore(oldest)) {
			oldest, drop = p, func() { delete(e.own, a) }
		}
	}
	if oldest == nil {
		return false
	}
	e.tokens -= oldest.tokens
	drop()
	return true
}
