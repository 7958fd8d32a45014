package forward

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/cachemiss"
	"quinceridge.example/quinceridge/internal/coordapi"
)

// lockedBuffer is a buffer that several goroutines may use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) read(t *testing.T) cachemiss.Log {
	b.mu.Lock()
	defer b.mu.Unlock()
	var log cachemiss.Log
	assert.NilError(t, log.Read(bytes.NewReader(b.buffer.Bytes())))
	return log
}

// Guards against log lines from which the causes of repeated prefill cannot be told.
func TestAnsweredLineListsPrefills(t *testing.T) {
	r := newRig(t)
	var out lockedBuffer
	r.handler.config.Logger = slog.New(slog.NewTextHandler(&out, nil))
	r.add("llm", "e", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Signature, "s")
		w.Header().Set(names.CachedTokens, "300")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	})
	choice, found := r.pool.Choose(0, &backends.Query{Pool: "llm"})
	assert.Assert(t, found)
	choice.Placement, choice.Version, choice.Versioned, choice.Source, choice.Holder = 1, 4, true, "10.0.0.1:1", coordapi.HolderFull
	r.handler.config.Placer = &fixedPlacer{choice: choice, answered: true}
	ask := func(prefix string) {
		response := r.ask("POST", "/chat/x", func(q *http.Request) {
			q.Header.Set(names.Model, "m")
			q.Header.Set(names.Usage, "1000,50")
			q.Header.Set(names.Prefix, prefix)
		})
		assert.Equal(t, response.status, http.StatusOK)
	}
	ask("own:100")
	ask("rules:300,case:200,own:500")
	// The line is written before the server can read another request from the connection.
	ask("own:100")
	log := out.read(t)
	assert.Equal(t, len(log.Attempts), 1, "a prompt without shared parts has no entry")
	a := log.Attempts[0]
	assert.Assert(t, a.Sent <= a.Begun && a.Begun <= a.Ended)
	a.Sent, a.Begun, a.Ended = 0, 0, 0
	assert.Equal(t, len(a.Parts), 2)
	assert.Equal(t, a.Parts[0].Tokens+a.Parts[1].Tokens, 500)
	a.Parts = nil
	assert.DeepEqual(t, a, cachemiss.Attempt{Engine: "e", Address: choice.Address, Model: "m", Version: 4, Own: 500, Most: 1050, Capacity: 10000,
		Source: "10.0.0.1:1", Holder: coordapi.HolderFull, Cached: 300})
}

// Guards against counting prompts that an engine rejected without processing them.
func TestRejectedAttemptHasNoPrefill(t *testing.T) {
	r := newRig(t)
	var out lockedBuffer
	r.handler.config.Logger = slog.New(slog.NewTextHandler(&out, nil))
	r.add("llm", "e", reject)
	choice, found := r.pool.Choose(0, &backends.Query{Pool: "llm"})
	assert.Assert(t, found)
	choice.Placement, choice.Version, choice.Versioned = 1, 4, true
	r.handler.config.Placer = &fixedPlacer{choice: choice, answered: true}
	r.ask("POST", "/chat/x", func(q *http.Request) {
		q.Header.Set(names.Model, "m")
		q.Header.Set(names.Prefix, "rules:300,own:500")
	})
	assert.Equal(t, len(out.read(t).Attempts), 0)
}
