// Package platform is the stand-in for the platform's list of machines. Reads return a stale list.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/platformapi"
	"quinceridge.example/quinceridge/internal/standin"
)

// Config configures the stand-in.
type Config struct {
	Listen string
	// Lag is the delay before a change becomes visible to readers.
	Lag time.Duration
}

// version is the list of machines since a time.
type version struct {
	at       time.Time
	machines []platformapi.Machine
}

// Platform is the stand-in's server.
type Platform struct {
	config Config

	mu       sync.Mutex
	versions []version
}

// New returns a platform without machines.
func New(config Config) *Platform { return &Platform{config: config, versions: []version{{}}} }

// Run serves until ctx is canceled.
func (p *Platform) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platformapi.PathMachines, p.get)
	mux.HandleFunc("POST "+platformapi.PathMachines, p.post)
	return standin.Serve(ctx, p.config.Listen, mux)
}

func (p *Platform) get(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, platformapi.List{Machines: p.visible(time.Now())})
}

// visible returns the newest list that is at least Lag old, and discards older ones.
func (p *Platform) visible(now time.Time) []platformapi.Machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.versions) - 1; i > 0; i-- {
		if now.Sub(p.versions[i].at) >= p.config.Lag {
			p.versions = p.versions[i:]
			break
		}
	}
	return p.versions[0].machines
}

// post replaces the machines in the body and removes those that are marked as gone.
func (p *Platform) post(w http.ResponseWriter, r *http.Request) {
	var change platformapi.List
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	machines := slices.Clone(p.versions[len(p.versions)-1].machines)
	for _, m := range change.Machines {
		machines = slices.DeleteFunc(machines, func(x platformapi.Machine) bool { return x.ID == m.ID })
		if !m.Gone {
			machines = append(machines, m)
		}
	}
	p.versions = append(p.versions, version{at: time.Now(), machines: machines})
	w.WriteHeader(http.StatusNoContent)
}
