package follower

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/periodic"
	"quinceridge.example/quinceridge/internal/resumption"
)

const (
	// recordTimeout bounds the sending of records to a coordinator, and recordRetryDelay is the time
	// until they are sent again.
	recordTimeout    = 300 * time.Millisecond
	recordRetryDelay = 50 * time.Millisecond
	// findStreamTimeout bounds the search for the record of a stream, whose client waits.
	findStreamTimeout = placeTimeout
	// maxRecordBatch bounds the records of one message, and maxPendingRecords those that wait for one
	// coordinator.
	maxRecordBatch    = 256
	maxPendingRecords = 4096
	// supersededWindow is the time before the row of a start within which that start may have answered
	// in the name of the one before: heartbeats may be late.
	supersededWindow = 5 * time.Second
)

// errNoCoordinator means that no coordinator could be asked.
var errNoCoordinator = errors.New("no coordinator responded")

// streams is a router's part in the records of streams. It is safe for concurrent use.
type streams struct {
	table *resumption.Table

	mu sync.Mutex
	// pending are the records that are still to be sent, by coordinator.
	pending map[string][]resumption.Record
	// sending are the coordinators to which records are being sent.
	sending map[string]bool
	// group are the calls to coordinators. None begins once ended is set.
	group sync.WaitGroup
	ended bool
	// ctx is nil until RunStreams begins.
	ctx context.Context
}

// RecordStream records which back end began a stream. While several software versions may serve its pool,
// the coordinators get the record too.
func (f *Follower) RecordStream(r resumption.Record) {
	r = f.streams.table.Add(f.now(), r)
	if f.mixed(r.Writer.Pool) {
		f.publish([]resumption.Record{r})
	}
}

// mixed reports whether several software versions may have begun a stream of a pool.
func (f *Follower) mixed(pool string) bool {
	pools := f.software.Load()
	if pools == nil {
		return false
	}
	versions := (*pools)[pool]
	return versions.Several()
}

// LocalStream returns the writer of a stream that this router has recorded.
func (f *Follower) LocalStream(key resumption.Key) (writer resumption.Writer, recorded bool) {
	return f.streams.table.Find(f.now(), key)
}

// RunStreams sends records to the coordinators until the context ends.
func (f *Follower) RunStreams(ctx context.Context) {
	f.streams.mu.Lock()
	f.streams.ctx = ctx
	f.streams.mu.Unlock()
	<-ctx.Done()
	f.streams.mu.Lock()
	f.streams.ended = true
	f.streams.mu.Unlock()
	f.streams.group.Wait()
}

// publish queues records for the coordinators that keep them.
func (f *Follower) publish(records []resumption.Record) {
	coordinators := f.coordinators.Load()
	if coordinators == nil {
		return
	}
	s := &f.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.ended {
		return
	}
	for _, r := range records {
		for _, address := range resumption.Keepers(r.Key, *coordinators) {
			if s.pending[address] = append(s.pending[address], r); len(s.pending[address]) > maxPendingRecords {
				s.pending[address] = s.pending[address][1:]
			}
			if !s.sending[address] {
				s.sending[address] = true
				s.group.Go(func() { f.sendRecords(s.ctx, address) })
			}
		}
	}
}

// begin calls each coordinator at once. It returns false, and calls none, after the end of RunStreams.
func (s *streams) begin(coordinators []string, call func(address string)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	for _, address := range coordinators {
		s.group.Go(func() { call(address) })
	}
	return true
}

// sendRecords sends what is pending for a coordinator. Records that it does not acknowledge are sent again
// until their streams can no longer be resumed.
func (f *Follower) sendRecords(ctx context.Context, address string) {
	for batch := f.streams.take(address); len(batch) > 0; batch = f.streams.take(address) {
		sentAt := f.now()
		call, cancel := context.WithTimeout(ctx, recordTimeout)
		var reply coordapi.Reply
		err := f.config.Peers.Call(call, address, coordapi.KindCall, coordapi.Request{RecordStreams: &coordapi.RecordStreams{Streams: batch}}, &reply)
		cancel()
		if err == nil {
			continue
		}
		if periodic.Sleep(ctx, recordRetryDelay); ctx.Err() != nil {
			return
		}
		f.streams.requeue(address, batch, f.now()-sentAt)
	}
}

// take returns the next records for a coordinator. If there are none, the caller has to end.
func (s *streams) take(address string) []resumption.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.pending[address]
	batch := pending[:min(len(pending), maxRecordBatch)]
	if s.pending[address] = pending[len(batch):]; len(batch) == 0 {
		delete(s.pending, address)
		delete(s.sending, address)
	}
	return batch
}

// requeue keeps records that were not acknowledged, which are older now.
func (s *streams) requeue(address string, batch []resumption.Record, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []resumption.Record
	for _, r := range batch {
		if r.Left -= age; r.Left > 0 {
			kept = append(kept, r)
		}
	}
	// Newer records of the same streams follow.
	s.pending[address] = append(kept, s.pending[address]...)
}

// publishPools sends the records of all streams of some pools.
func (f *Follower) publishPools(pools map[string]coordapi.SoftwareVersions) {
	for pool := range pools {
		if records := f.streams.table.Records(f.now(), pool); len(records) > 0 {
			f.publish(records)
			f.config.Logger.Info("records of streams sent", "part", "follower", "pool", pool, "count", len(records))
		}
	}
}

// followSoftware takes the leader's notes on software versions. A pool may have had one version when its
// streams began, and a new leader may be the sign of coordinators that have lost their records.
func (f *Follower) followSoftware(pools map[string]coordapi.SoftwareVersions, newLeader bool) {
	before := f.software.Load()
	f.software.Store(&pools)
	news := map[string]coordapi.SoftwareVersions{}
	for pool, versions := range pools {
		known := false
		if before != nil {
			_, known = (*before)[pool]
		}
		if newLeader || !known {
			news[pool] = versions
		}
	}
	f.publishPools(news)
}

// withdrawStreams removes the software version from the recent records of a back end whose name a process
// of another version has taken: that process may have written the events.
func (f *Follower) withdrawStreams(backend string) {
	records := f.streams.table.Withdraw(f.now(), backend, f.now()-supersededWindow)
	if len(records) == 0 {
		return
	}
	f.config.Logger.Warn("software version of recent streams is not certain", "part", "follower", "backend", backend, "streams", len(records))
	f.publish(records)
}

// FindStream asks the coordinators for the writer of a stream. Recorded is false if all that responded
// have no record; the error is set if none responded.
func (f *Follower) FindStream(ctx context.Context, key resumption.Key) (writer resumption.Writer, recorded bool, err error) {
	coordinators := f.coordinators.Load()
	if coordinators == nil {
		return writer, false, errNoCoordinator
	}
	ctx, cancel := context.WithTimeout(ctx, findStreamTimeout)
	defer cancel()
	replies := make(chan *coordapi.FoundStream, len(*coordinators))
	find := func(address string) {
		var reply coordapi.Reply
		if f.config.Peers.Call(ctx, address, coordapi.KindCall, coordapi.Request{FindStream: &coordapi.FindStream{Key: key}}, &reply) != nil {
			reply.Stream = nil
		}
		replies <- reply.Stream
	}
	if !f.streams.begin(*coordinators, find) {
		return writer, false, errNoCoordinator
	}
	err = errNoCoordinator
	for range *coordinators {
		switch found := <-replies; {
		case found == nil:
		case found.Writer != nil:
			return *found.Writer, true, nil
		default:
			err = nil
		}
	}
	return writer, false, err
}
