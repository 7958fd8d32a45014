// Package commits measures the control group's log on this machine's disk:
// commits a second and their latency beside the disk's own rate of syncs, and
// how long a node takes to start from a long log.
package commits

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"

	"quinceridge.example/quinceridge/internal/control"
	"quinceridge.example/quinceridge/internal/hollow"
	"quinceridge.example/quinceridge/internal/latency"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/storage"
)

// Load is the outcome of one number of clients.
type Load struct {
	Clients int
	// Commits a second, and the latency in milliseconds.
	Rate float64
	P50  float64
	P99  float64
}

// Syncs returns how many appends of 200 bytes a second this disk makes durable,
// one after the other.
func Syncs(folder string, length time.Duration) (float64, error) {
	file, err := os.Create(filepath.Join(folder, "syncs"))
	if err != nil {
		return 0, errors.Wrap(err, "create file")
	}
	defer file.Close()
	block := make([]byte, 200)
	started, count := time.Now(), 0
	for time.Since(started) < length {
		if _, err := file.Write(block); err != nil {
			return 0, errors.Wrap(err, "write")
		}
		if err := file.Sync(); err != nil {
			return 0, errors.Wrap(err, "sync")
		}
		count++
	}
	return float64(count) / time.Since(started).Seconds(), nil
}

// Commits runs claims against a group of three real nodes, by so many clients
// at once.
func Commits(f *hollow.Fleet, clients int, length time.Duration) (Load, error) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var done, failed atomic.Int64
	var mu sync.Mutex
	waits := latency.New()
	var group sync.WaitGroup
	started := time.Now()
	for c := range clients {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				at := time.Now()
				op := state.ClaimOperation{Kind: state.ClaimAcquire, Tenant: "t", Key: fmt.Sprintf("%d/%d/%d", clients, c, n), Attempt: "a", Request: "r"}
				_, err := f.Submit(ctx, state.Command{Claims: &state.Claims{Operations: []state.ClaimOperation{op}}})
				if ctx.Err() != nil {
					return
				}
				if err != nil {
					failed.Add(1)
					continue
				}
				done.Add(1)
				mu.Lock()
				waits.Record(time.Since(at))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	if failed.Load() > 0 {
		return Load{}, errors.Newf("%d commits failed", failed.Load())
	}
	return Load{Clients: clients, Rate: float64(done.Load()) / time.Since(started).Seconds(), P50: waits.Milliseconds(50), P99: waits.Milliseconds(99)}, nil
}

// Restart returns how long a single node takes to open a data folder in which
// so many changes were made and to apply them, with a snapshot before the last
// hundred or without any.
func Restart(folder string, changes int, snapshot bool) (time.Duration, error) {
	config := control.CoreConfig{Raft: raft.Config{ID: 1, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
		LeaseDuration: 800 * time.Millisecond, Random: rand.New(rand.NewPCG(1, 1))}, Initial: raft.Membership{Voters: []uint64{1}},
		SnapshotEvery: uint64(changes) * 2, Lease: 3 * time.Second}
	if err := fill(folder, changes, snapshot); err != nil {
		return 0, err
	}
	started := time.Now()
	core, err := control.NewCore(config, vfs.Default, folder, 0)
	if err != nil {
		return 0, err
	}
	defer func() { _ = core.Close() }()
	// A group of one elects itself and commits its log.
	for now := time.Duration(0); core.Machine().Applied() < uint64(changes); now += 100 * time.Millisecond {
		core.Tick(now)
		if _, err := core.Pump(now); err != nil {
			return 0, err
		}
	}
	return time.Since(started), nil
}

// snapshotTail is how many changes follow the snapshot.
const snapshotTail = 100

// fill writes a data folder with so many changes.
func fill(folder string, changes int, snapshot bool) error {
	store, _, err := storage.Open(vfs.Default, folder)
	if err != nil {
		return err
	}
	machine := state.New()
	var entries []raft.Entry
	for i := range changes {
		command := state.Command{At: int64(i), Claims: &state.Claims{Operations: []state.ClaimOperation{
			{Kind: state.ClaimAcquire, Tenant: "t", Key: fmt.Sprint(i), Attempt: "a", Request: fmt.Sprintf("%064x", i)}}}}
		data, err := json.Marshal(command)
		if err != nil {
			return errors.Wrap(err, "encode")
		}
		entries = append(entries, raft.Entry{Index: uint64(i + 1), Term: 1, Kind: raft.EntryCommand, Data: data})
		if snapshot && i < changes-snapshotTail {
			if _, err := machine.Apply(uint64(i+1), 1, data); err != nil {
				return err
			}
		}
	}
	hard := raft.HardState{Term: 1, Vote: 1, Commit: uint64(changes)}
	if !snapshot {
		return errors.CombineErrors(store.Save(raft.Ready{HardState: &hard, Entries: entries}), store.Close())
	}
	data, err := machine.Snapshot()
	if err != nil {
		return err
	}
	s := &raft.Snapshot{Index: machine.Applied(), Term: 1, Membership: raft.Membership{Voters: []uint64{1}}, Data: data}
	return errors.CombineErrors(store.SaveSnapshot(s, hard, entries[machine.Applied():]), store.Close())
}
