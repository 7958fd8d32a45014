// Package kvstore is the stand-in for the store of kept KV cache. It keeps the
// digests of chains, not their content, and takes as long as a transfer would.
package kvstore

import (
	"container/list"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/prefix"
	"quinceridge.example/quinceridge/internal/standin"
)

// PathChains serves GET and PUT of a chain under the digest of its last block.
const PathChains = "/chains/"

// Config says how the stand-in behaves.
type Config struct {
	Listen string
	// Capacity is how many chains are kept.
	Capacity int
	// PerBlock is the time that the transfer of a block takes.
	PerBlock time.Duration
}

// Entry is a kept chain.
type Entry struct {
	// Tenant may import the chain; empty for shared prompts.
	Tenant string `json:"tenant"`
	// Incarnation is the exporter's.
	Incarnation string       `json:"incarnation"`
	Chain       prefix.Chain `json:"chain"`
}

type kept struct {
	name  string
	entry Entry
}

// Store is the running stand-in.
type Store struct {
	config Config

	mu      sync.Mutex
	order   *list.List
	entries map[string]*list.Element
}

// New returns an empty store.
func New(config Config) *Store {
	return &Store{config: config, order: list.New(), entries: map[string]*list.Element{}}
}

// Run serves until the context ends.
func (s *Store) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathChains+"{name}", s.get)
	mux.HandleFunc("PUT "+PathChains+"{name}", s.put)
	return standin.Serve(ctx, s.config.Listen, mux)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	element, ok := s.entries[r.PathValue("name")]
	var entry Entry
	if ok {
		s.order.MoveToFront(element)
		entry = element.Value.(kept).entry
	}
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	time.Sleep(time.Duration(len(entry.Chain)) * s.config.PerBlock)
	standin.WriteJSON(w, http.StatusOK, entry)
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	var entry Entry
	if err := json.NewDecoder(r.Body).Decode(&entry); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name := r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.entries[name]; ok {
		s.order.Remove(old)
	}
	s.entries[name] = s.order.PushFront(kept{name, entry})
	if s.order.Len() > s.config.Capacity {
		last := s.order.Back()
		s.order.Remove(last)
		delete(s.entries, last.Value.(kept).name)
	}
	w.WriteHeader(http.StatusNoContent)
}
