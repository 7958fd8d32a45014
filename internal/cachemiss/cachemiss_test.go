package cachemiss

import (
	"bytes"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
)

var origin = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

// at returns a time some milliseconds after the origin.
func at(ms int) time.Duration {
	return time.Duration(origin.UnixNano()) + time.Duration(ms)*time.Millisecond
}

var twoParts = []coordapi.Part{{Hash: 0xaaaa, Tokens: 2500}, {Hash: 0xbbbb, Tokens: 3800}}

// attempt returns an attempt of 200 ms at an engine, whose response begins after 100 ms.
func attempt(engine string, sent int) Attempt {
	return Attempt{Engine: engine, Address: engine + ":1", Model: "m", Version: 1, Sent: at(sent), Begun: at(sent + 100), Ended: at(sent + 200),
		Parts: twoParts, Own: 1000, Most: 7500, Capacity: 20_000, Cached: NotReported}
}

func change(a Attempt, change func(*Attempt)) Attempt {
	change(&a)
	return a
}

// logOf returns the lines of attempts as a process logs them, in the text or JSON format.
func logOf(inJSON bool, attempts ...Attempt) string {
	var out bytes.Buffer
	for _, a := range attempts {
		options := &slog.HandlerOptions{ReplaceAttr: func(_ []string, attr slog.Attr) slog.Attr {
			if attr.Key == slog.TimeKey {
				return slog.Time(slog.TimeKey, time.Unix(0, int64(a.Ended)).UTC())
			}
			return attr
		}}
		var handler slog.Handler = slog.NewTextHandler(&out, options)
		if inJSON {
			handler = slog.NewJSONHandler(&out, options)
		}
		slog.New(handler).Info("answered", "id", `a "quoted" one`, "attempts", "x (cost 1 of 2): 200", PartsKey, FormatParts(a.Parts), AttemptsKey, FormatAttempts(a.Ended, []Attempt{a}))
	}
	return out.String()
}

func replayOf(t *testing.T, text string) Result {
	t.Helper()
	var log Log
	assert.NilError(t, log.Read(strings.NewReader(text)))
	return Replay(&log)
}

// checkSum verifies that each part that was processed again has one cause.
func checkSum(t *testing.T, r Result) {
	t.Helper()
	var sum Count
	for cause := FirstRead + 1; cause < causes; cause++ {
		sum.Parts += r.Causes[cause].Parts
		sum.Tokens += r.Causes[cause].Tokens
	}
	assert.DeepEqual(t, sum, r.Again)
}

// Each case guards against counting parts under a wrong cause, which would direct work to a part of
// the router that is not at fault.
func TestCauses(t *testing.T) {
	both := Count{2, 6300}
	large := func(a *Attempt) { a.Parts = []coordapi.Part{{Hash: 0xcccc, Tokens: 18_000}} }
	elsewhere := func(state coordapi.HolderState) []Attempt {
		return []Attempt{attempt("x", 0), change(attempt("y", 500), func(a *Attempt) { a.Holder = state })}
	}
	for _, c := range []struct {
		name     string
		attempts []Attempt
		cause    Cause
		want     Count
	}{
		{"in the engine's cache", []Attempt{attempt("x", 0), attempt("x", 500)}, Unknown, Count{}},
		{"being processed by the same engine", []Attempt{attempt("x", 0), attempt("x", 50)}, Unknown, Count{}},
		{"fetched from the holder", []Attempt{attempt("x", 0), change(attempt("y", 500), func(a *Attempt) { a.Source = "x:1" })}, Unknown, Count{}},
		{"fetched from the store", []Attempt{change(attempt("x", 0), func(a *Attempt) { a.Saves = true }),
			change(attempt("y", 500), func(a *Attempt) { a.Source, a.Stored = "s:1", true })}, Unknown, Count{}},
		{"evicted", []Attempt{attempt("x", 0), change(attempt("x", 500), large), attempt("x", 1000)}, Evicted, both},
		{"evicted at another engine", []Attempt{attempt("x", 0), change(attempt("x", 500), large), attempt("y", 1000)}, Evicted, both},
		{"last part evicted", []Attempt{attempt("x", 0), change(attempt("x", 500), func(a *Attempt) { a.Parts = []coordapi.Part{{Hash: 0xcccc, Tokens: 15_000}} }), attempt("x", 1000)}, Evicted, Count{1, 3800}},
		{"evicted as the engine reports", []Attempt{attempt("x", 0), change(attempt("x", 500), func(a *Attempt) { a.Cached = 2000 })}, Evicted, Count{2, 4300}},
		{"new version", []Attempt{attempt("x", 0), change(attempt("x", 500), func(a *Attempt) { a.Version = 2 })}, NewVersion, both},
		{"holder full", elsewhere(coordapi.HolderFull), CopyHolderFull, both},
		{"holder free", elsewhere(coordapi.HolderFree), CopyHolderFree, both},
		{"holder not recorded", elsewhere(""), CopyUnrecorded, both},
		{"holder unavailable", elsewhere(coordapi.HolderUnavailable), HolderLost, both},
		{"herd", []Attempt{attempt("x", 0), attempt("y", 50), attempt("z", 90)}, Herd, Count{4, 12_600}},
		{"herd while it is saved", []Attempt{change(attempt("x", 0), func(a *Attempt) { a.Saves = true }),
			change(attempt("y", 50), func(a *Attempt) { a.Source, a.Stored = "s:1", true })}, Herd, both},
		{"store miss", []Attempt{change(attempt("x", 0), func(a *Attempt) { a.Saves = true }),
			change(attempt("y", 500), func(a *Attempt) { a.Source, a.Stored, a.Cached = "s:1", true, 0 })}, StoreMiss, both},
		{"unknown", []Attempt{attempt("x", 0), change(attempt("y", 500), func(a *Attempt) { a.Holder = coordapi.HolderChosen })}, Unknown, both},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, inJSON := range []bool{false, true} {
				r := replayOf(t, logOf(inJSON, c.attempts...))
				assert.Equal(t, r.Attempts, len(c.attempts))
				assert.Equal(t, r.Causes[c.cause], c.want, "%+v", r)
				assert.Equal(t, r.Again, c.want)
				checkSum(t, r)
			}
		})
	}
}

// Guards against assuming that the cache of an engine that has left still exists.
func TestPartsOfDepartedEngineAreLost(t *testing.T) {
	for _, line := range []string{`time=2026-12-01T09:00:00.400Z level=INFO msg="removing back ends" part=registry count=2 backends="[w x]"`,
		`{"time":"2026-12-01T09:00:00.4Z","level":"INFO","msg":"removing back ends","part":"registry","count":2,"backends":["w","x"]}`} {
		r := replayOf(t, logOf(false, attempt("x", 0), attempt("y", 500))+line+"\n")
		assert.Equal(t, r.Causes[HolderLost], Count{2, 6300}, "%+v", r)
		checkSum(t, r)
	}
}

// Guards against counting the first read of a part as processed again.
func TestFirstReadIsNotCounted(t *testing.T) {
	r := replayOf(t, logOf(false, attempt("x", 0)))
	assert.Equal(t, r.Causes[FirstRead], Count{2, 6300})
	assert.Equal(t, r.Again, Count{})
	assert.Equal(t, r.Shared, 6300)
}

// Guards against prompts with many parts that make log lines long, and against losing their tokens.
func TestLoggedPartsAreBounded(t *testing.T) {
	var parts []coordapi.Part
	for i := range 100 {
		parts = append(parts, coordapi.Part{Hash: coordapi.PartHash(i) << 60, Tokens: 10})
	}
	read, err := parseParts(FormatParts(parts))
	assert.NilError(t, err)
	assert.Equal(t, len(read), maxLoggedParts)
	a := Attempt{Parts: read}
	assert.Equal(t, a.shared(), 1000)
}

// The log must state all that the replay uses.
func TestLogKeepsAttempts(t *testing.T) {
	full := attempt("engine; a&b=c", 10)
	full.Source, full.Stored, full.Saves, full.Holder, full.Cached = "s:1", true, true, coordapi.HolderFull, 17
	failed := attempt("y", 20)
	failed.Begun = 0
	var log Log
	assert.NilError(t, log.Read(strings.NewReader("router-1 | "+logOf(false, full)+logOf(true, failed)+"msg=\"removing back ends\"\n")))
	assert.DeepEqual(t, log.Attempts, []Attempt{full, failed})
}

// Guards against parts that have no cause or several in any order of events.
func TestCausesAddUpInRandomLogs(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		states := []coordapi.HolderState{"", coordapi.HolderChosen, coordapi.HolderFull, coordapi.HolderFree, coordapi.HolderUnavailable}
		var log Log
		for range 400 {
			a := attempt(fmt.Sprint("e", random.IntN(6)), random.IntN(20_000))
			a.Version = int(a.Sent-at(0))/int(10*time.Second) + 1
			a.Parts = []coordapi.Part{{Hash: 1, Tokens: 500}, {Hash: coordapi.PartHash(random.IntN(12) + 2), Tokens: 2000}}
			a.Holder, a.Saves = states[random.IntN(len(states))], random.IntN(4) == 0
			switch random.IntN(4) {
			case 0:
				a.Source, a.Stored = "s:1", true
			case 1:
				a.Source = fmt.Sprintf("e%d:1", random.IntN(6))
			}
			if random.IntN(3) == 0 {
				a.Cached = random.IntN(3000)
			}
			if random.IntN(20) == 0 {
				a.Begun = 0
			}
			log.Attempts = append(log.Attempts, a)
		}
		log.Departures = []Departure{{at(5000), "e1"}, {at(15_000), "e2"}}
		r := Replay(&log)
		assert.Assert(t, r.Again.Tokens > 0)
		checkSum(t, r)
		for range 5 {
			assert.DeepEqual(t, Replay(&log), r)
		}
	}
}

func TestTableListsCausesAndTotal(t *testing.T) {
	r := replayOf(t, logOf(false, attempt("x", 0), attempt("y", 50)))
	var out strings.Builder
	assert.NilError(t, r.WriteTable(&out))
	for _, line := range []string{"cause ", "concurrent reads (herd) ", "processed again ", "0.5000", "12600 shared tokens of 2 answered prompts"} {
		assert.Assert(t, strings.Contains(out.String(), line), "%s lacks %q", out.String(), line)
	}
}

func BenchmarkFormat(b *testing.B) {
	attempts := []Attempt{attempt("x", 0)}
	for b.Loop() {
		_ = FormatParts(twoParts) + FormatAttempts(at(300), attempts)
	}
}

// Guards against an error that repeats a whole line, of up to some megabytes, in place of its number.
func TestErrorNamesLineOfLog(t *testing.T) {
	var log Log
	err := log.Read(strings.NewReader("msg=started\n" + `time=2026-01-02T03:04:05Z msg=answered parts=nothing prefills="engine=x&sent=1"` + "\n"))
	assert.ErrorContains(t, err, "line 2: ")
	assert.Assert(t, !strings.Contains(err.Error(), "msg=answered"))
}
