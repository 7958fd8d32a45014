// Package platform is the stand-in for the platform's list of machines, which
// lags behind the truth.
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

// Config says how the stand-in behaves.
type Config struct {
	Listen string
	// Lag is how far the list is behind.
	Lag time.Duration
}

type version struct {
	at       time.Time
	machines []platformapi.Machine
}

// Platform is the running stand-in.
type Platform struct {
	config Config

	mu       sync.Mutex
	versions []version
}

// New returns a platform without machines.
func New(config Config) *Platform { return &Platform{config: config, versions: []version{{}}} }

// Run serves until the context ends.
func (p *Platform) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platformapi.PathMachines, p.get)
	mux.HandleFunc("POST "+platformapi.PathMachines, p.post)
	return standin.Serve(ctx, p.config.Listen, mux)
}

func (p *Platform) get(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, platformapi.List{Machines: p.visible(time.Now())})
}

// visible returns the newest list that is old enough to be seen.
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

// post takes a change of some machines.
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
