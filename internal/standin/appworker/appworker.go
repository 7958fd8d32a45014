// Package appworker is the stand-in for application workers. It records every run in a journal, so
// that duplicate runs of a call can be detected.
package appworker

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/standin"
)

// JournalName is the file name of the journal of runs.
const JournalName = "runs.jsonl"

// Run is one line of the journal. At is the wall-clock time in microseconds.
type Run struct {
	At      int64  `json:"at"`
	Worker  string `json:"worker"`
	Path    string `json:"path"`
	Tenant  string `json:"tenant"`
	Key     string `json:"key"`
	Request string `json:"request"`
	Number  uint64 `json:"number"`
}

// Config configures the stand-in.
type Config struct {
	ID     string
	Listen string
	Folder string
	// Service is the mean service time of a run.
	Service time.Duration
}

// Worker is the running stand-in.
type Worker struct {
	config  Config
	journal *standin.Journal
	runs    atomic.Uint64
}

// Receipt is the response to a call. Echo holds the start of the request's body.
type Receipt struct {
	Worker  string `json:"worker"`
	Number  uint64 `json:"number"`
	Request string `json:"request"`
	Echo    string `json:"echo"`
}

// New opens the journal and returns a worker.
func New(config Config) (*Worker, error) {
	journal, err := standin.OpenJournal(config.Folder, JournalName)
	if err != nil {
		return nil, err
	}
	return &Worker{config: config, journal: journal}, nil
}

// Run serves until ctx is canceled.
func (w *Worker) Run(ctx context.Context) error {
	return standin.Serve(ctx, w.config.Listen, http.HandlerFunc(w.serve))
}

// maxEcho limits the echoed part of a body, in bytes.
const maxEcho = 256

// serve runs a call. It records the run before it responds, so that the run of a worker that is
// killed in between is counted.
func (w *Worker) serve(response http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	number := w.runs.Add(1)
	request := r.Header.Get("X-Request-Id")
	w.journal.Write(Run{At: time.Now().UnixMicro(), Worker: w.config.ID, Path: r.URL.Path, Tenant: r.Header.Get("Tenant"),
		Key: r.Header.Get("Request-Key"), Request: request, Number: number})
	time.Sleep(time.Duration(rand.Float64() * 2 * float64(w.config.Service)))
	echo := string(body[:min(len(body), maxEcho)])
	standin.WriteJSON(response, http.StatusOK, Receipt{Worker: w.config.ID, Number: number, Request: request, Echo: echo})
}
