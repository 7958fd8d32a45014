package coordinator

import (
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// enginesPerShard is the approximate maximum number of engines in the views of a router.
	// Routers choose among them while the leader does not answer: 512 are many more than a router
	// has requests in flight, and a full view of them stays below 20 KB.
	enginesPerShard = 512
	// shardMergeRatio is the fraction of enginesPerShard below which shards are merged. It is
	// below 1 so that single back ends that come and go do not change the number of shards.
	shardMergeRatio = 0.75
	// broadcastIntervalPerRouter is the minimum time between two broadcast revisions for each
	// watching router. It limits the leader to 2,000 views a second for changes of rows.
	broadcastIntervalPerRouter = 500 * time.Microsecond
)

// shardCount returns the number of shards for a number of engines, given the present number of
// shards.
func shardCount(engines, present int) int {
	count := max(present, 1)
	for engines > count*enginesPerShard {
		count *= 2
	}
	for count > 1 && float64(engines) <= shardMergeRatio*float64(count/2*enginesPerShard) {
		count /= 2
	}
	return count
}

// broadcast is the revision of the replicated state that all views contain until the next one is
// broadcast, so that the changes since an earlier revision are computed and packed once for all
// routers. Changes of the configuration and of blocked requests are broadcast at once, changes of
// rows after an interval. It belongs to the run goroutine.
type broadcast struct {
	revision uint64
	at       time.Duration
	// plainRevision is the revision at which plain back ends, which are not engines, last
	// changed, and shardRevisions the same for the engines of each shard.
	plainRevision  uint64
	shardRevisions []uint64
	// members are the addresses of the coordinators, and membersRevision the revision at which
	// they last changed.
	members         []string
	membersRevision uint64
	// deltas caches changes by the revision since which they were made.
	deltas map[uint64]*delta
	// document is the packed configuration of revision documentRevision.
	document         []byte
	documentRevision uint64
}

// shards returns the number of shards.
func (t *broadcast) shards() int { return len(t.shardRevisions) }

// setMembers sets the addresses of the coordinators.
func (t *broadcast) setMembers(members []string) {
	if !slices.Equal(members, t.members) {
		t.members, t.membersRevision = members, t.revision
	}
}

// lastChange returns the revision of the last change that concerns a shard.
func (t *broadcast) lastChange(d *state.Deployment, shard coordapi.Shard) uint64 {
	return max(d.ConfigurationRevision, d.BlockedRevision, t.plainRevision, t.shardRevisions[shard.Index])
}

// urgent reports whether the configuration or the blocked requests have changed, which is
// broadcast at once.
func (t *broadcast) urgent(d *state.Deployment) bool {
	return max(d.ConfigurationRevision, d.BlockedRevision) > t.revision
}

// due reports whether the next revision is to be broadcast, given the number of watching routers.
func (t *broadcast) due(now time.Duration, d *state.Deployment, routers int) bool {
	return t.urgent(d) || (d.BackendsRevision > t.revision && now >= t.at+time.Duration(routers)*broadcastIntervalPerRouter)
}

// advance moves on to a revision. It returns the shards whose routers have news, and whether all
// routers have.
func (t *broadcast) advance(now time.Duration, revision uint64, d *state.Deployment) (changed []int, all bool) {
	before, urgent := t.revision, t.urgent(d)
	t.revision, t.at, t.deltas = revision, now, map[uint64]*delta{}
	if count := shardCount(d.EngineCount(), t.shards()); count != t.shards() {
		t.shardRevisions = slices.Repeat([]uint64{revision}, count)
		t.plainRevision = revision
		return nil, true
	}
	if d.BackendsRevision <= before {
		return nil, urgent
	}
	if !d.HasChangesSince(before) {
		t.plainRevision = revision
		return nil, true
	}
	news := t.since(d, before)
	for shard := range t.shardRevisions {
		if !news.shards[shard].empty() {
			t.shardRevisions[shard] = revision
			changed = append(changed, shard)
		}
	}
	if !news.plain.empty() {
		t.plainRevision = revision
		return changed, true
	}
	return changed, urgent
}

// delta holds the changes since a revision, or everything if that is 0: plain back ends, and the
// engines of each shard.
type delta struct {
	plain  changes
	shards []changes
}

// changes are changed rows and the IDs of removed ones. packed caches the packed rows that
// concern a shard, and whole a packed coordapi.FullView.
type changes struct {
	rows          []state.Backend
	departed      []string
	packed, whole []byte
}

func (c *changes) empty() bool { return len(c.rows)+len(c.departed) == 0 }

// changesFor returns the changes to which a back end belongs.
func (n *delta) changesFor(engine bool, id string) *changes {
	if !engine {
		return &n.plain
	}
	return &n.shards[coordapi.ShardIndex(coordapi.BackendID(id), len(n.shards))]
}

// since returns what changed after a revision.
func (t *broadcast) since(d *state.Deployment, revision uint64) *delta {
	if known := t.deltas[revision]; known != nil {
		return known
	}
	news := &delta{shards: make([]changes, t.shards())}
	rows, departed := d.ChangedSince(revision)
	for _, b := range rows {
		c := news.changesFor(b.IsEngine(), b.ID)
		c.rows = append(c.rows, b)
	}
	for _, departure := range departed {
		c := news.changesFor(departure.Engine, departure.ID)
		c.departed = append(c.departed, departure.ID)
	}
	t.deltas[revision] = news
	return news
}

// rows returns the changed rows that concern a shard.
func (n *delta) rows(shard int) []state.Backend {
	return slices.Concat(n.plain.rows, n.shards[shard].rows)
}

// fillChanges adds to a view what changed since a revision.
func (t *broadcast) fillChanges(v *coordapi.View, d *state.Deployment, since uint64) {
	news := t.since(d, since)
	mine := &news.shards[v.Shard.Index]
	v.Departed = slices.Concat(news.plain.departed, mine.departed)
	if mine.packed != nil {
		v.PackedBackends = mine.packed
	} else if rows := news.rows(v.Shard.Index); len(rows) < minPackedRows {
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

// minPackedRows is the number of rows from which they are packed.
const minPackedRows = 6

// minPackedDocument is the size in bytes from which a configuration is packed.
const minPackedDocument = 2 << 10

func (t *broadcast) fillDocument(v *coordapi.View, d *state.Deployment) {
	if len(d.Document) < minPackedDocument {
		v.Document = d.Document
		return
	}
	if t.documentRevision != d.ConfigurationRevision {
		// Encoding into memory cannot fail.
		t.document, _ = coordapi.Pack(d.Document)
		t.documentRevision = d.ConfigurationRevision
	}
	v.PackedDocument = t.document
}

// fillFull adds the whole state that a router needs to a view.
func (t *broadcast) fillFull(v *coordapi.View, d *state.Deployment) {
	all := t.since(d, 0)
	mine := &all.shards[v.Shard.Index]
	if mine.whole == nil {
		whole := coordapi.FullView{Document: d.Document, Backends: all.rows(v.Shard.Index), Blocked: coordapi.Blocked{Requests: d.Blocked}}
		// Encoding into memory cannot fail.
		mine.whole, _ = coordapi.Pack(whole)
	}
	v.Packed = mine.whole
}
