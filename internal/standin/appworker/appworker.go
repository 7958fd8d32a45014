// Package appworker is the stand-in for application workers. It records every
// run, so that a second run of a charge is caught.
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

// JournalName is the file of runs in the data folder.
const JournalName = "runs.jsonl"

// Run is one line of the journal.
type Run struct {
	At      int64  `json:"at"`
	Worker  string `json:"worker"`
	Path    string `json:"path"`
	Tenant  string `json:"tenant"`
	Key     string `json:"key"`
	Request string `json:"request"`
	Number  uint64 `json:"number"`
}

// Config says how the stand-in behaves.
type Config struct {
	ID     string
	Listen string
	Folder string
	// Service is the mean time of a run.
	Service time.Duration
}

// Worker is the running stand-in.
type Worker struct {
	config  Config
	journal *standin.Journal
	runs    atomic.Uint64
}

// Receipt is the answer to a call.
type Receipt struct {
	Worker  string `json:"worker"`
	Number  uint64 `json:"number"`
	Request string `json:"request"`
	Echo    string `json:"echo"`
}

// New opens the journal.
func New(config Config) (*Worker, error) {
	journal, err := standin.OpenJournal(config.Folder, JournalName)
	if err != nil {
		return nil, err
	}
	return &Worker{config: config, journal: journal}, nil
}

// Run serves until the context ends.
func (w *Worker) Run(ctx context.Context) error {
	return standin.Serve(ctx, w.config.Listen, http.HandlerFunc(w.serve))
}

// maxEcho bounds how much of a body comes back.
const maxEcho = 256

// serve runs a call. The run is on record before the answer leaves, so that a
// worker which dies in between has run it.
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
