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
	return max(d.ConfiguredAt, d.BlockedAt, t.plainAt, t.shardsAt[shard.Index])
}

// urgent tells whether the configuration or the blocked requests have changed, which no
// router may hear of late.
func (t *step) urgent(d *state.Deployment) bool {
	return max(d.ConfiguredAt, d.BlockedAt) > t.revision
}

// due tells whether a next step is, for a number of routers that follow.
func (t *step) due(now time.Duration, d *state.Deployment, routers int) bool {
	return t.urgent(d) || (d.BackendsAt > t.revision && now >= t.at+time.Duration(routers)*stepPerRouter)
}

// next moves on to a revision. It returns the shards whose routers have news, and whether
// all have.
func (t *step) next(now time.Duration, revision uint64, d *state.Deployment) (changed []int, all bool) {
	before := t.revision
	t.revision, t.at, t.deltas = revision, now, map[uint64]*delta{}
	if count := shardCount(d.Engines(), t.shards()); count != t.shards() {
		t.shardsAt = slices.Repeat([]uint64{revision}, count)
		t.plainAt = revision
		return nil, true
	}
	if d.BackendsAt <= before {
		return nil, d.ConfiguredAt > before || d.BlockedAt > before
	}
	if !d.Remembers(before) {
		t.plainAt = revision
		return nil, true
	}
	news := t.since(d, before)
	if len(news.plain)+len(news.plainGone) > 0 {
		t.plainAt = revision
	}
	for shard := range t.shardsAt {
		if len(news.engines[shard])+len(news.enginesGone[shard]) > 0 {
			t.shardsAt[shard] = revision
			changed = append(changed, shard)
		}
	}
	return changed, t.plainAt == revision || d.ConfiguredAt > before || d.BlockedAt > before
}

// delta is what changed since a revision, all that is there for revision 0.
type delta struct {
	plain       []state.Backend
	plainGone   []string
	engines     map[int][]state.Backend
	enginesGone map[int][]string
	// packed are the rows of each shard, where they are many, and whole a packed Whole.
	packed map[int][]byte
	whole  map[int][]byte
}

// since returns what changed after a revision.
func (t *step) since(d *state.Deployment, revision uint64) *delta {
	if known := t.deltas[revision]; known != nil {
		return known
	}
	news := &delta{engines: map[int][]state.Backend{}, enginesGone: map[int][]string{}, packed: map[int][]byte{}, whole: map[int][]byte{}}
	rows, gone := d.Changed(revision)
	for _, b := range rows {
		if !b.IsEngine() {
			news.plain = append(news.plain, b)
			continue
		}
		shard := coordapi.ShardIndex(coordapi.BackendID(b.ID), t.shards())
		news.engines[shard] = append(news.engines[shard], b)
	}
	for _, departure := range gone {
		if !departure.Engine {
			news.plainGone = append(news.plainGone, departure.ID)
			continue
		}
		shard := coordapi.ShardIndex(coordapi.BackendID(departure.ID), t.shards())
		news.enginesGone[shard] = append(news.enginesGone[shard], departure.ID)
	}
	t.deltas[revision] = news
	return news
}

// rows are the rows that concern a shard.
func (n *delta) rows(shard int) []state.Backend { return slices.Concat(n.plain, n.engines[shard]) }

// departed are the departures that concern a shard.
func (n *delta) departed(shard int) []string {
	return slices.Concat(n.plainGone, n.enginesGone[shard])
}

// fill puts what a watcher lacks since a revision into its view.
func (t *step) fill(v *coordapi.View, d *state.Deployment, since uint64) {
	news := t.since(d, since)
	shard := v.Shard.Index
	v.Departed = news.departed(shard)
	if packed := news.packed[shard]; packed != nil {
		v.PackedBackends = packed
	} else if rows := news.rows(shard); len(rows) < packRowsFrom {
		v.Backends = rows
	} else {
		// Encoding into memory cannot fail.
		v.PackedBackends, _ = coordapi.Pack(rows)
		news.packed[shard] = v.PackedBackends
	}
	if d.ConfiguredAt > since {
		t.fillDocument(v, d)
	}
	if d.BlockedAt > since {
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
	if t.documentAt != d.ConfiguredAt {
		// Encoding into memory cannot fail.
		t.document, _ = coordapi.Pack(d.Document)
		t.documentAt = d.ConfiguredAt
	}
	v.PackedDocument = t.document
}

// fillWhole puts all that a router must know into its view.
func (t *step) fillWhole(v *coordapi.View, d *state.Deployment) {
	all := t.since(d, 0)
	shard := v.Shard.Index
	if all.whole[shard] == nil {
		whole := coordapi.Whole{Document: d.Document, Backends: all.rows(shard), Blocked: coordapi.Blocked{Requests: d.Blocked}}
		// Encoding into memory cannot fail.
		all.whole[shard], _ = coordapi.Pack(whole)
	}
	v.Packed = all.whole[shard]
}
