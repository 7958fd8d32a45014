package coordinator

import (
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// enginesPerShard is about how many engines a router is told of at most. It chooses
	// among them while the leader gives no answer: 512 are many more than it has requests
	// under way, and a first view of them stays below 20 KB.
	enginesPerShard = 512
	// shardSlack is the part of enginesPerShard below which shards are merged again, so
	// that a few back ends that come and go change nothing.
	shardSlack = 0.75
	// stepPerRouter is the time between two steps for each router that follows: with it
	// the leader makes at most 2,000 views a second for changes of rows, however many
	// routers there are.
	stepPerRouter = 500 * time.Microsecond
)

// shardCount returns into how many shards a number of engines is divided, given the
// present count.
func shardCount(engines, present int) int {
	count := max(present, 1)
	for engines > count*enginesPerShard {
		count *= 2
	}
	for count > 1 && float64(engines) <= shardSlack*float64(count/2*enginesPerShard) {
		count /= 2
	}
	return count
}

// step is a revision of the replicated state of which routers are told. All views until
// the next step are of this one, so that what many of them lack is found and packed
// once. The configuration and blocked requests make a step of their own at once; rows
// that change wait for the next. It belongs to the run goroutine.
type step struct {
	revision uint64
	at       time.Duration
	// plainAt is the revision at which back ends without engines changed last, and
	// shardsAt the same for the engines of each shard.
	plainAt  uint64
	shardsAt []uint64
	// members are the addresses of the coordinators, and membersAt the revision at which
	// they changed last.
	members   []string
	membersAt uint64
	// deltas are what changed, by the revision since when.
	deltas map[uint64]*delta
	// document is the packed configuration of the revision documentAt.
	document   []byte
	documentAt uint64
}

// shards is how many there are.
func (t *step) shards() int { return len(t.shardsAt) }

// follow takes the members of the group.
func (t *step) follow(members []string) {
	if !slices.Equal(members, t.members) {
		t.members, t.membersAt = members, t.revision
	}
}

// changedFor is the revision at which something that concerns a shard changed last.
func (t *step) changedFor(d *state.Deployment, shard coordapi.Shard) uint64 {
	return max(d.ConfigurationRevision, d.BlockedRevision, t.plainAt, t.shardsAt[shard.Index])
}

// urgent tells whether the configuration or the blocked requests have changed, which no
// router may hear of late.
func (t *step) urgent(d *state.Deployment) bool {
	return max(d.ConfigurationRevision, d.BlockedRevision) > t.revision
}

// due tells whether a next step is, for a number of routers that follow.
func (t *step) due(now time.Duration, d *state.Deployment, routers int) bool {
	return t.urgent(d) || (d.BackendsRevision > t.revision && now >= t.at+time.Duration(routers)*stepPerRouter)
}

// next moves on to a revision. It returns the shards whose routers have news, and whether
// all have.
func (t *step) next(now time.Duration, revision uint64, d *state.Deployment) (changed []int, all bool) {
	before, urgent := t.revision, t.urgent(d)
	t.revision, t.at, t.deltas = revision, now, map[uint64]*delta{}
	if count := shardCount(d.EngineCount(), t.shards()); count != t.shards() {
		t.shardsAt = slices.Repeat([]uint64{revision}, count)
		t.plainAt = revision
		return nil, true
	}
	if d.BackendsRevision <= before {
		return nil, urgent
	}
	if !d.HasChangesSince(before) {
		t.plainAt = revision
		return nil, true
	}
	news := t.since(d, before)
	for shard := range t.shardsAt {
		if !news.shards[shard].empty() {
			t.shardsAt[shard] = revision
			changed = append(changed, shard)
		}
	}
	if !news.plain.empty() {
		t.plainAt = revision
		return changed, true
	}
	return changed, urgent
}

// delta is what changed since a revision, all that is there for revision 0: of back ends
// without engines, and of the engines of each shard.
type delta struct {
	plain  changes
	shards []changes
}

// changes are rows that changed and back ends that departed. Packed are the rows that
// concern a shard, where they are many, and whole is a packed Whole.
type changes struct {
	rows          []state.Backend
	gone          []string
	packed, whole []byte
}

func (c *changes) empty() bool { return len(c.rows)+len(c.gone) == 0 }

// of returns where a back end's changes stand.
func (n *delta) of(engine bool, id string) *changes {
	if !engine {
		return &n.plain
	}
	return &n.shards[coordapi.ShardIndex(coordapi.BackendID(id), len(n.shards))]
}

// since returns what changed after a revision.
func (t *step) since(d *state.Deployment, revision uint64) *delta {
	if known := t.deltas[revision]; known != nil {
		return known
	}
	news := &delta{shards: make([]changes, t.shards())}
	rows, gone := d.ChangedSince(revision)
	for _, b := range rows {
		c := news.of(b.IsEngine(), b.ID)
		c.rows = append(c.rows, b)
	}
	for _, departure := range gone {
		c := news.of(departure.Engine, departure.ID)
		c.gone = append(c.gone, departure.ID)
	}
	t.deltas[revision] = news
	return news
}

// rows are the rows that concern a shard.
func (n *delta) rows(shard int) []state.Backend {
	return slices.Concat(n.plain.rows, n.shards[shard].rows)
}

// fill puts what a watcher lacks since a revision into its view.
func (t *step) fill(v *coordapi.View, d *state.Deployment, since uint64) {
	news := t.since(d, since)
	mine := &news.shards[v.Shard.Index]
	v.Departed = slices.Concat(news.plain.gone, mine.gone)
	if mine.packed != nil {
		v.PackedBackends = mine.packed
	} else if rows := news.rows(v.Shard.Index); len(rows) < packRowsFrom {
		v.Backends = rows
	} else {
		// Encoding into memory cannot fail.
		mine.packed, _ = coordapi.Pack(rows)
		v.PackedBackends = mine.packed
	}
	if d.ConfigurationRevision > since {
		t.fillDocument(v, d)
	}
	if d.BlockedRevision > since {
		v.Blocked = &coordapi.Blocked{Requests: d.Blocked}
	}
}

// packRowsFrom is how many rows are packed. All routers of a shard lack the same ones when
// back ends start, and six take a third packed of what they take as text.
const packRowsFrom = 6

// packDocumentFrom is the size from which a configuration is packed, once for all
// routers; what fits into two packets of a network is not worth the second form.
const packDocumentFrom = 2 << 10

func (t *step) fillDocument(v *coordapi.View, d *state.Deployment) {
	if len(d.Document) < packDocumentFrom {
		v.Document = d.Document
		return
	}
	if t.documentAt != d.ConfigurationRevision {
		// Encoding into memory cannot fail.
		t.document, _ = coordapi.Pack(d.Document)
		t.documentAt = d.ConfigurationRevision
	}
	v.PackedDocument = t.document
}

// fillWhole puts all that a router must know into its view.
func (t *step) fillWhole(v *coordapi.View, d *state.Deployment) {
	all := t.since(d, 0)
	mine := &all.shards[v.Shard.Index]
	if mine.whole == nil {
		whole := coordapi.FullView{Document: d.Document, Backends: all.rows(v.Shard.Index), Blocked: coordapi.Blocked{Requests: d.Blocked}}
		// Encoding into memory cannot fail.
		mine.whole, _ = coordapi.Pack(whole)
	}
	v.Packed = mine.whole
}
