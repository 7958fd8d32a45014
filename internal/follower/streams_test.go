package follower

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/resumption"
	"quinceridge.example/quinceridge/internal/state"
)

// keeper is a coordinator that keeps records of streams.
type keeper struct {
	address string
	table   atomic.Pointer[resumption.Table]
	server  *peer.Server
	// rejects is set while it responds to nothing.
	rejects atomic.Bool
}

func newKeeper(t testing.TB) *keeper {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	k := &keeper{address: listener.Addr().String()}
	k.table.Store(resumption.NewTable())
	k.server = peer.Serve(listener, &peer.Counters{}, func(_ context.Context, _ string, body json.RawMessage) (any, error) {
		return peer.HandleDecoded(body, k.serve)
	})
	t.Cleanup(k.server.Close)
	return k
}

func (k *keeper) serve(r coordapi.Request) (coordapi.Reply, error) {
	switch {
	case k.rejects.Load():
		return coordapi.Reply{}, errNoCoordinator
	case r.RecordStreams != nil:
		for _, record := range r.RecordStreams.Streams {
			k.table.Load().Add(clock.Now(), record)
		}
	case r.FindStream != nil:
		found := &coordapi.FoundStream{}
		if writer, recorded := k.table.Load().Find(clock.Now(), r.FindStream.Key); recorded {
			found.Writer = &writer
		}
		return coordapi.Reply{Stream: found}, nil
	}
	return coordapi.Reply{}, nil
}

// recordRouter is a router without a leader that knows some coordinators.
func recordRouter(t testing.TB, keepers []*keeper) (*Follower, *peer.Counters) {
	f, counters, _ := endingRouter(t, keepers)
	return f, counters
}

// endingRouter is a recordRouter with a function that ends it.
func endingRouter(t testing.TB, keepers []*keeper) (*Follower, *peer.Counters, func()) {
	counters := &peer.Counters{}
	f := New(Config{Name: "router", Seeds: []string{"127.0.0.1:1"}, Pool: discardPool{}, Peers: peer.NewClient(counters), Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	var addresses []string
	for _, k := range keepers {
		addresses = append(addresses, k.address)
	}
	f.coordinators.Store(&addresses)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.RunStreams(ctx)
	}()
	end := func() {
		cancel()
		<-done
	}
	t.Cleanup(func() {
		end()
		f.config.Peers.Close()
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.streams.mu.Lock()
		defer f.streams.mu.Unlock()
		if f.streams.ctx == nil {
			return poll.Continue("not running")
		}
		return poll.Success()
	})
	return f, counters, end
}

var severalVersions = map[string]coordapi.SoftwareVersions{"llm": {Serving: []state.SoftwareVersion{"v1", "v2"}}}

func streamRecord(attempt string) resumption.Record {
	return resumption.Record{Key: resumption.KeyOf("alice", attempt), Writer: resumption.Writer{Pool: "llm", Backend: "a", Software: "v1"}, Left: time.Minute}
}

// awaitFound waits until a router finds a stream that another one recorded.
func awaitFound(t *testing.T, f *Follower, attempt string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		writer, recorded, err := f.FindStream(t.Context(), resumption.KeyOf("alice", attempt))
		if !recorded || writer != streamRecord(attempt).Writer {
			return poll.Continue("%v %v %v", writer, recorded, err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

func newKeepers(t testing.TB, count int) []*keeper {
	var out []*keeper
	for range count {
		out = append(out, newKeeper(t))
	}
	return out
}

// With one software version nothing may be sent.
func TestStreamsOfOneVersionAreNotReported(t *testing.T) {
	keepers := newKeepers(t, 3)
	f, counters := recordRouter(t, keepers)
	f.followSoftware(nil, true)
	f.RecordStream(streamRecord("1"))
	f.followSoftware(nil, true)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, counters.MessagesOut.Load(), uint64(0))
	_, recorded := f.LocalStream(resumption.KeyOf("alice", "1"))
	assert.Assert(t, recorded)
}

// A stream that began before the second version came into service may be resumed after.
func TestStreamsAreReportedOnceThereAreSeveralVersions(t *testing.T) {
	keepers := newKeepers(t, 5)
	f, _ := recordRouter(t, keepers)
	other, _ := recordRouter(t, keepers)
	f.RecordStream(streamRecord("before"))
	f.followSoftware(severalVersions, false)
	f.RecordStream(streamRecord("after"))
	awaitFound(t, other, "before")
	awaitFound(t, other, "after")
}

// Any two of five coordinators may be lost, before the record is sent or after.
func TestStreamIsFoundWhenTwoCoordinatorsAreLost(t *testing.T) {
	for first := range 5 {
		for second := range first {
			keepers := newKeepers(t, 5)
			f, _ := recordRouter(t, keepers)
			other, _ := recordRouter(t, keepers)
			f.followSoftware(severalVersions, false)
			keepers[first].rejects.Store(true)
			f.RecordStream(streamRecord("1"))
			awaitFound(t, other, "1")
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if n := keptBy(keepers, "1"); n < 2 {
					return poll.Continue("%d coordinators have the record", n)
				}
				return poll.Success()
			})
			keepers[second].rejects.Store(true)
			awaitFound(t, other, "1")
		}
	}
}

func keptBy(keepers []*keeper, attempt string) int {
	n := 0
	for _, k := range keepers {
		if _, recorded := k.table.Load().Find(clock.Now(), resumption.KeyOf("alice", attempt)); recorded {
			n++
		}
	}
	return n
}

// Coordinators that have lost their records get them again from the routers that live, with the leader
// that follows.
func TestRecordsAreSentAgainToNewLeadership(t *testing.T) {
	keepers := newKeepers(t, 3)
	f, _ := recordRouter(t, keepers)
	other, _ := recordRouter(t, keepers)
	f.followSoftware(severalVersions, false)
	f.RecordStream(streamRecord("1"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := keptBy(keepers, "1"); n < len(keepers) {
			return poll.Continue("%d coordinators have the record", n)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	for _, k := range keepers {
		k.table.Store(resumption.NewTable())
	}
	_, recorded, err := other.FindStream(t.Context(), resumption.KeyOf("alice", "1"))
	assert.NilError(t, err)
	assert.Assert(t, !recorded)
	f.followSoftware(severalVersions, true)
	awaitFound(t, other, "1")
}

// A coordinator that does not respond must get a record later, and a lookup without a response is an error.
func TestRecordIsSentUntilAcknowledged(t *testing.T) {
	keepers := newKeepers(t, 1)
	f, _ := recordRouter(t, keepers)
	f.followSoftware(severalVersions, false)
	keepers[0].rejects.Store(true)
	f.RecordStream(streamRecord("1"))
	_, recorded, err := f.FindStream(t.Context(), resumption.KeyOf("alice", "1"))
	assert.Assert(t, !recorded)
	assert.ErrorIs(t, err, errNoCoordinator)
	time.Sleep(3 * recordRetryDelay)
	keepers[0].rejects.Store(false)
	awaitFound(t, f, "1")
}

// Requests that end after their router must not begin calls that it has stopped to wait for.
func TestNoCallBeginsOnceRouterHasEnded(t *testing.T) {
	keepers := newKeepers(t, 3)
	for range 20 {
		f, _, end := endingRouter(t, keepers)
		f.followSoftware(severalVersions, false)
		var requests sync.WaitGroup
		for i := range 4 {
			requests.Go(func() {
				for n := range 20 {
					f.RecordStream(streamRecord(fmt.Sprint(i, " ", n)))
					_, _, _ = f.FindStream(t.Context(), resumption.KeyOf("alice", "unknown"))
				}
			})
		}
		end()
		requests.Wait()
		_, _, err := f.FindStream(t.Context(), resumption.KeyOf("alice", "1"))
		assert.ErrorIs(t, err, errNoCoordinator)
	}
}

// The streams of a name that a process of another version has taken are of no known version anywhere.
func TestWithdrawnStreamsAreReported(t *testing.T) {
	keepers := newKeepers(t, 3)
	f, _ := recordRouter(t, keepers)
	f.followSoftware(severalVersions, false)
	f.RecordStream(streamRecord("1"))
	awaitFound(t, f, "1")
	f.withdrawStreams("a")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		writer, recorded, err := f.FindStream(t.Context(), resumption.KeyOf("alice", "1"))
		if !recorded || writer.Known() {
			return poll.Continue("%v %v %v", writer, recorded, err)
		}
		return poll.Success()
	})
}

// BenchmarkRecordStream measures one record at three coordinators, with the processing of both sides, and
// BenchmarkFindStream a lookup at ten.
func BenchmarkRecordStream(b *testing.B) {
	keepers := newKeepers(b, 3)
	f, counters := recordRouter(b, keepers)
	f.followSoftware(severalVersions, false)
	b.ReportAllocs()
	for i := range b.N {
		attempt := fmt.Sprint(i)
		f.RecordStream(streamRecord(attempt))
		for keptBy(keepers, attempt) < 3 {
			time.Sleep(10 * time.Microsecond)
		}
	}
	b.ReportMetric(float64(counters.BytesOut.Load())/float64(b.N), "B/stream")
	b.ReportMetric(float64(counters.MessagesOut.Load())/float64(b.N), "messages/stream")
}

func BenchmarkFindStream(b *testing.B) {
	keepers := newKeepers(b, 10)
	f, counters := recordRouter(b, keepers)
	f.followSoftware(severalVersions, false)
	f.RecordStream(streamRecord("1"))
	for keptBy(keepers, "1") < 3 {
		time.Sleep(time.Millisecond)
	}
	counters.BytesOut.Store(0)
	b.ReportAllocs()
	for range b.N {
		if _, recorded, _ := f.FindStream(b.Context(), resumption.KeyOf("alice", "1")); !recorded {
			b.Fatal("not found")
		}
	}
	b.ReportMetric(float64(counters.BytesOut.Load())/float64(b.N), "B/lookup")
}
