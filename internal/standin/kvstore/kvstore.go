// Package kvstore is the stand-in for the store of exported KV cache. It stores block digests instead
// of the cached data and delays each read by the simulated transfer time.
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

// PathChains is the path prefix for GET and PUT of a chain, by the digest of its last block.
const PathChains = "/chains/"

// Config configures the stand-in.
type Config struct {
	Listen string
	// Capacity is the maximum number of stored chains.
	Capacity int
	// PerBlock is the transfer time of one block.
	PerBlock time.Duration
}

// Entry is a stored chain.
type Entry struct {
	// Tenant is the only tenant that may import the chain. It is empty for shared prompts.
	Tenant string `json:"tenant"`
	// Incarnation is the incarnation of the exporting engine.
	Incarnation string       `json:"incarnation"`
	Chain       prefix.Chain `json:"chain"`
}

type namedEntry struct {
	name  string
	entry Entry
}

// Store is the stand-in's server. It evicts the least recently used chain when it is full.
type Store struct {
	config Config

	mu      sync.Mutex
	lru     *list.List
	entries map[string]*list.Element
}

// New returns an empty store.
func New(config Config) *Store {
	return &Store{config: config, lru: list.New(), entries: map[string]*list.Element{}}
}

// Run serves until ctx is canceled.
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
		s.lru.MoveToFront(element)
		entry = element.Value.(namedEntry).entry
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
		s.lru.Remove(old)
	}
	s.entries[name] = s.lru.PushFront(namedEntry{name, entry})
	if s.lru.Len() > s.config.Capacity {
		last := s.lru.Back()
		s.lru.Remove(last)
		delete(s.entries, last.Value.(namedEntry).name)
	}
	w.WriteHeader(http.StatusNoContent)
}
