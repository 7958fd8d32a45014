package fleet

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/prefix"
	"quinceridge.example/quinceridge/internal/standin/appworker"
	"quinceridge.example/quinceridge/internal/standin/callers"
	"quinceridge.example/quinceridge/internal/standin/engine"
)

// Summary is the result of a run.
type Summary struct {
	callers.Tally
	Deployment string  `json:"deployment"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	// DoubleRuns counts repeated runs of calls that must run at most once.
	DoubleRuns int `json:"double_runs"`
	// FalseNotRun counts requests that were run although they were refused as not run.
	FalseNotRun int `json:"false_not_run"`
	// LateWork counts requests that an engine admitted in a period in which it must not receive new
	// work because it was listed as leaving.
	LateWork int     `json:"late_work"`
	HitRate  float64 `json:"hit_rate"`
	// WastedRatio is the share of prompt tokens that were computed although an engine had them
	// cached, or for an attempt that was cancelled.
	WastedRatio float64 `json:"wasted_ratio"`

	SteadyP50 float64 `json:"ttft_p50_steady"`
	SteadyP95 float64 `json:"ttft_p95_steady"`
	SteadyP99 float64 `json:"ttft_p99_steady"`
	SurgeP50  float64 `json:"ttft_p50_surge"`
	SurgeP95  float64 `json:"ttft_p95_surge"`
	SurgeP99  float64 `json:"ttft_p99_surge"`
	// TokenGapP95 is the 95th percentile over responses of the mean time between tokens, in seconds.
	TokenGapP95 float64                    `json:"token_gap_p95"`
	TTFT        map[string]callers.Latency `json:"ttft"`
	Stuck       []string                   `json:"stuck,omitempty"`
	Errors      []string                   `json:"errors,omitempty"`
	Faults      int                        `json:"faults,omitempty"`
	FaultCounts map[string]int             `json:"fault_counts,omitempty"`
}

// Passed reports whether all checks of the responses succeeded and all processes stopped in time.
func (s *Summary) Passed() bool {
	return s.Lost == 0 && s.IncompleteStreams == 0 && s.Wrong == 0 && s.DoubleRuns == 0 && s.FalseNotRun == 0 && s.LateWork == 0 && len(s.Stuck) == 0
}

// Summarize computes the summary of a stopped fleet from the callers' report and the journals.
func (f *Fleet) Summarize() (*Summary, error) {
	data, err := os.ReadFile(f.callersReportPath())
	if err != nil {
		return nil, errors.Wrap(err, "read callers' report")
	}
	var report callers.Report
	if err := json.Unmarshal(data, &report); err != nil {
		return nil, errors.Wrap(err, "decode callers' report")
	}
	s := &Summary{Tally: report.Tally, Deployment: f.config.Deployment.Name, Seed: f.config.Seed, Seconds: report.Seconds,
		TTFT: report.TTFT, TokenGapP95: report.TokenGap.P95, Errors: report.Errors}
	steady, surge := report.TTFT["steady"], report.TTFT["surge"]
	s.SteadyP50, s.SteadyP95, s.SteadyP99 = steady.P50, steady.P95, steady.P99
	s.SurgeP50, s.SurgeP95, s.SurgeP99 = surge.P50, surge.P95, surge.P99
	if err := f.addApplicationRuns(s, &report); err != nil {
		return nil, err
	}
	return s, f.addCacheUse(s, &report)
}

// readJournals calls visit for each entry of the journals with the given name, in all data folders
// that match the pattern.
func readJournals[T any](folder, pattern, name string, visit func(T)) error {
	files, err := filepath.Glob(filepath.Join(folder, "data", pattern, name))
	if err != nil {
		return errors.Wrap(err, "find journals")
	}
	for _, file := range files {
		if err := readJournal(file, visit); err != nil {
			return err
		}
	}
	return nil
}

const maxJournalLine = 16 << 20

func readJournal[T any](path string, visit func(T)) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open journal")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxJournalLine)
	for lines.Scan() {
		var line T
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			continue // a killed process may leave a partial last line
		}
		visit(line)
	}
	return errors.Wrap(lines.Err(), "read journal")
}

// addApplicationRuns compares the application workers' runs with the responses that callers
// received.
func (f *Fleet) addApplicationRuns(s *Summary, report *callers.Report) error {
	runs := map[string]int{}
	err := readJournals(f.config.Folder, "worker-*", appworker.JournalName, func(r appworker.Run) {
		if r.Key != "" {
			runs[r.Key]++
		}
	})
	if err != nil {
		return err
	}
	for _, count := range runs {
		if count > 1 {
			s.DoubleRuns += count - 1
		}
	}
	for _, key := range report.Refused {
		if runs[key] > 0 {
			s.FalseNotRun++
		}
	}
	for _, key := range report.Called {
		if runs[key] == 0 {
			s.Wrong++
		}
	}
	return nil
}

// addCacheUse replays the engines' journals in the order of time, to compute the use of the caches
// and to count the work that engines must not have received.
func (f *Fleet) addCacheUse(s *Summary, report *callers.Report) error {
	var records []engine.Record
	err := readJournals(f.config.Folder, "engine-*", engine.JournalName, func(r engine.Record) { records = append(records, r) })
	if err != nil {
		return err
	}
	sort.SliceStable(records, func(i, j int) bool { return records[i].At < records[j].At })
	index := newCacheIndex()
	for i := range records {
		index.apply(&records[i])
		if records[i].Kind == engine.RecordAdmit && f.wasLeaving(records[i].Engine, time.UnixMicro(records[i].At)) {
			s.LateWork++
		}
	}
	if index.prompt > 0 {
		s.HitRate = float64(index.cached) / float64(index.prompt)
		s.WastedRatio = float64(index.wasted) / float64(index.prompt)
	}
	for _, id := range report.RefusedRequests {
		if id != "" && index.admitted[id] > 0 {
			s.FalseNotRun++
		}
	}
	return nil
}

// wasLeaving reports whether the given time is in a leaving window of the engine.
func (f *Fleet) wasLeaving(name string, at time.Time) bool {
	f.leavingMu.Lock()
	defer f.leavingMu.Unlock()
	for _, l := range f.leavingWindows {
		if l.engine == name && at.After(l.from) && at.Before(l.to) {
			return true
		}
	}
	return false
}

// cacheIndex tracks which engine has which block cached.
type cacheIndex struct {
	holders  map[uint64]int
	blocks   map[string]map[uint64]bool // by engine
	admitted map[string]int             // uncached tokens by request
	prompt   int
	cached   int
	wasted   int
}

func newCacheIndex() *cacheIndex {
	return &cacheIndex{holders: map[uint64]int{}, blocks: map[string]map[uint64]bool{}, admitted: map[string]int{}}
}

// apply updates the index and the counts of tokens with one journal entry.
func (x *cacheIndex) apply(r *engine.Record) {
	switch r.Kind {
	case engine.RecordStart:
		for block := range x.blocks[r.Engine] {
			x.holders[block]--
		}
		x.blocks[r.Engine] = map[uint64]bool{}
	case engine.RecordCache:
		x.updateBlocks(r)
	case engine.RecordAdmit:
		x.prompt += r.Prompt
		x.cached += r.Cached
		x.admitted[r.Request] = r.Prompt - r.Cached
		for _, block := range r.Chain[min(r.Cached/prefix.BlockTokens, len(r.Chain)):] {
			if x.holders[block] > 0 {
				x.wasted += prefix.BlockTokens
			}
		}
	case engine.RecordCancel:
		x.wasted += x.admitted[r.Request]
	}
}

func (x *cacheIndex) updateBlocks(r *engine.Record) {
	held := x.blocks[r.Engine]
	if held == nil {
		held = map[uint64]bool{}
		x.blocks[r.Engine] = held
	}
	for _, event := range r.Events {
		switch {
		case event.Stored && !held[event.Block]:
			held[event.Block] = true
			x.holders[event.Block]++
		case !event.Stored && held[event.Block]:
			delete(held, event.Block)
			x.holders[event.Block]--
		}
	}
}
