package engine

import (
	"net/http"
	"strconv"
	"time"

	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/enginemodel"
	"quinceridge.example/quinceridge/internal/prefix"
	"quinceridge.example/quinceridge/internal/standin"
)

// RecordKind is the kind of a journal record.
type RecordKind string

// The kinds of journal records.
const (
	RecordStart  RecordKind = "start"
	RecordAdmit  RecordKind = "admit"
	RecordCancel RecordKind = "cancel"
	RecordCache  RecordKind = "cache"
)

// Record is one line of the journal.
type Record struct {
	// At is the wall-clock time in microseconds.
	At          int64                    `json:"at"`
	Kind        RecordKind               `json:"kind"`
	Engine      string                   `json:"engine"`
	Incarnation string                   `json:"incarnation"`
	Request     string                   `json:"request,omitempty"`
	Tenant      string                   `json:"tenant,omitempty"`
	Prompt      int                      `json:"prompt,omitempty"`
	Cached      int                      `json:"cached,omitempty"`
	Chain       prefix.Chain             `json:"chain,omitempty"`
	Events      []enginemodel.CacheEvent `json:"events,omitempty"`
}

// maxEvents limits the cache events that are kept for readers.
const maxEvents = 65536

type loggedEvent struct {
	at    time.Time
	event enginemodel.CacheEvent
}

// eventLog holds the published cache events, numbered from 1.
type eventLog struct {
	first  uint64 // number of the event before events[0]
	events []loggedEvent
}

// publish writes events to the journal and makes all but randomly dropped ones available to readers.
// The caller holds e.mu.
func (e *Engine) publish(events []enginemodel.CacheEvent) {
	if len(events) == 0 {
		return
	}
	now := time.Now()
	e.journal.Write(Record{At: now.UnixMicro(), Kind: RecordCache, Engine: e.config.ID, Incarnation: e.incarnation, Events: events})
	for _, event := range events {
		if !e.loseEvent() {
			e.events.events = append(e.events.events, loggedEvent{now, event})
		}
	}
	if extra := len(e.events.events) - maxEvents; extra > 0 {
		e.events.events = e.events.events[extra:]
		e.events.first += uint64(extra)
	}
}

// cacheEvents serves the events after a number that are at least EventLag old.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	start := max(after, e.events.first)
	page := engineapi.CachePage{Incarnation: e.incarnation, First: start + 1, Events: []enginemodel.CacheEvent{}}
	for i := start - e.events.first; i < uint64(len(e.events.events)); i++ {
		logged := e.events.events[i]
		if time.Since(logged.at) < e.config.EventLag {
			break
		}
		page.Events = append(page.Events, logged.event)
	}
	standin.WriteJSON(w, http.StatusOK, page)
}
