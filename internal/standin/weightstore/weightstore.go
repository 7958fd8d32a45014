// Package weightstore is the stand-in for the rate-limited weight store: a load
// takes as long as the weights take at the store's rate, shared by all.
package weightstore

import (
	"context"
	"net/http"

	"golang.org/x/time/rate"

	"quinceridge.example/quinceridge/internal/standin"
)

// PathWeights serves GET of one model and version; it answers when the transfer
// is done.
const PathWeights = "/weights/"

// Config says how the stand-in behaves.
type Config struct {
	Listen string
	// Loads is how many loads a second the store gives.
	Loads float64
}

// Run serves until the context ends.
func Run(ctx context.Context, config Config) error {
	limiter := rate.NewLimiter(rate.Limit(config.Loads), 1)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathWeights+"{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		if err := limiter.Wait(r.Context()); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return standin.Serve(ctx, config.Listen, mux)
}
